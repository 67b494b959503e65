/** HTTP server for a StandInPlatform: the subset of the etcd v3 JSON API in docs/PLATFORM.md, and the VM list. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { ManagedComponent } from "../../common/life-cycle.js";
import {
    decodeBytes,
    decodeKey,
    encodeBytes,
    encodeKey,
    type EtcdCompare,
    type EtcdKeyValue,
    type EtcdLeaseRequest,
    type EtcdOperation,
    etcdPaths,
    type EtcdRangeRequest,
    type EtcdTransactionRequest,
    type EtcdWatchRequest,
    vmListPath,
} from "../../domain/etcd-protocol.js";
import type { KeyValueEntry, KeyWrite } from "../../domain/platform.js";
import { LeaseLostError, PlatformUnavailableError, ValueTooLargeError } from "../../errors/index.js";
import { vmListSchema } from "../../process/platform/index.js";
import type { StandInPlatform } from "./stand-in-platform.js";

/** Timeout of one call from the server to the StandInPlatform; longer than the timeouts of clients. */
const callTimeoutMilliseconds = 60_000;
const maximumRequestBytes = 8_000_000;
const millisecondsPerSecond = 1_000;

/** URL path at which VMs are added to the stand-in platform's list. */
export const standInVmsPath = "/stand-in/vms";

const grpcInvalidArgument = 3;
const grpcNotFound = 5;

/** Returns the JSON body of the response, or undefined if the handler writes the response itself. */
type Handler = (body: unknown, response: ServerResponse) => Promise<unknown>;

/** HTTP server for one StandInPlatform; listens on 127.0.0.1 by default. */
export class PlatformServer implements ManagedComponent {
    readonly name = "stand-in platform";
    private readonly server: Server;
    private readonly handlers: ReadonlyMap<string, Handler>;

    constructor(
        private readonly platform: StandInPlatform,
        private readonly port = 0,
        private readonly host = "127.0.0.1",
    ) {
        this.server = createServer((request, response) => void this.handle(request, response));
        this.handlers = new Map<string, Handler>([
            [etcdPaths.range, body => this.range(body as EtcdRangeRequest)],
            [etcdPaths.transaction, body => this.transact(body as EtcdTransactionRequest)],
            [etcdPaths.leaseGrant, body => this.grantLease(body as EtcdLeaseRequest)],
            [etcdPaths.leaseKeepAlive, body => this.keepLeaseAlive(body as EtcdLeaseRequest)],
            [etcdPaths.leaseRevoke, body => this.revokeLease(body as EtcdLeaseRequest)],
            [etcdPaths.watch, (body, response) => this.watch(body as EtcdWatchRequest, response)],
            [standInVmsPath, body => this.registerVms(body)],
            [vmListPath, async () => ({ vms: await this.platform.listVms(callTimeoutMilliseconds) })],
        ]);
    }

    /** Base URL; available only after `start`. */
    get address(): string {
        return `http://${this.host}:${(this.server.address() as AddressInfo).port}`;
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, this.host, resolve);
        });
    }

    stop(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const handler = this.handlers.get(request.url ?? "");
            if (handler === undefined) {
                sendJson(response, 404, { code: grpcNotFound, message: "no such path" });
                return;
            }
            const body = request.method === "GET" ? undefined : await readJson(request);
            const responseBody = await handler(body, response);
            if (responseBody !== undefined) {
                sendJson(response, 200, responseBody);
            }
        }
        catch (error) {
            sendFailure(response, error);
        }
    }

    /** Adds VMs to the list, or replaces those with the same ID. The real platform has no such call. */
    private async registerVms(body: unknown): Promise<unknown> {
        const { vms } = vmListSchema.parse(body);
        const ids = new Set(vms.map(vm => vm.id));
        const currentVms = await this.platform.listVms(callTimeoutMilliseconds);
        this.platform.setVms([...currentVms.filter(vm => !ids.has(vm.id)), ...vms]);
        return { vms: vms.length };
    }

    /** Reads one key, or a prefix; a start key that ends with a zero byte continues a prefix after an earlier key. */
    private async range(request: EtcdRangeRequest): Promise<unknown> {
        const key = decodeKey(request.key);
        const entries = request.range_end === undefined
            ? [await this.platform.get(key, callTimeoutMilliseconds)].filter(entry => entry !== undefined)
            : await this.platform.list(
                prefixForRangeEnd(request.range_end),
                callTimeoutMilliseconds,
                request.limit === undefined ? undefined : Number(request.limit),
                key.endsWith("\0") ? key.slice(0, -1) : undefined,
            );
        return { header: this.header(), kvs: entries.map(formatEntry), count: String(entries.length) };
    }

    private async transact(request: EtcdTransactionRequest): Promise<unknown> {
        const transaction = {
            conditions: (request.compare ?? []).map(parseCompare),
            writes: (request.success ?? []).map(parseOperation),
        };
        const result = await this.platform.transact(transaction, callTimeoutMilliseconds);
        return { header: { revision: String(result.revision) }, ...(result.succeeded ? { succeeded: true } : {}) };
    }

    private async grantLease(request: EtcdLeaseRequest): Promise<unknown> {
        const milliseconds = Number(request.TTL) * millisecondsPerSecond;
        return { ID: await this.platform.grantLease(milliseconds, callTimeoutMilliseconds), TTL: request.TTL };
    }

    /** As in etcd, a response without a TTL means that the lease is lost. */
    private async keepLeaseAlive(request: EtcdLeaseRequest): Promise<unknown> {
        try {
            await this.platform.keepLeaseAlive(request.ID ?? "", callTimeoutMilliseconds);
            return { result: { header: this.header(), ID: request.ID, TTL: "1" } };
        }
        catch (error) {
            if (error instanceof LeaseLostError) {
                return { result: { header: this.header(), ID: request.ID } };
            }
            throw error;
        }
    }

    private async revokeLease(request: EtcdLeaseRequest): Promise<unknown> {
        await this.platform.revokeLease(request.ID ?? "", callTimeoutMilliseconds);
        return { header: this.header() };
    }

    private async watch(request: EtcdWatchRequest, response: ServerResponse): Promise<undefined> {
        const { key, start_revision: startRevision } = request.create_request;
        const afterRevision = startRevision === undefined ? this.platform.revision : Number(startRevision) - 1;
        response.writeHead(200, { "content-type": "application/json" });
        const send = (result: object) => response.write(`${JSON.stringify({ result })}\n`);
        send({ header: this.header(), created: true });
        const subscription = this.platform.watch(decodeKey(key), afterRevision).subscribe({
            next: event =>
                void send({
                    header: this.header(),
                    events: [{
                        ...(event.kind === "delete" ? { type: "DELETE" } : {}),
                        kv: formatEntry(event.entry),
                    }],
                }),
            error: () => response.destroy(),
            complete: () => response.end(),
        });
        response.once("close", () => subscription.unsubscribe());
        return undefined;
    }

    private header(): { revision: string; } {
        return { revision: String(this.platform.revision) };
    }
}

function formatEntry(entry: KeyValueEntry): EtcdKeyValue {
    return {
        key: encodeKey(entry.key),
        value: encodeBytes(entry.value),
        mod_revision: String(entry.revision),
    };
}

/** The key prefix whose range ends at this base64 key. */
function prefixForRangeEnd(encodedEnd: string): string {
    const bytes = Buffer.from(encodedEnd, "base64");
    const last = bytes.length - 1;
    bytes[last] = bytes[last]! - 1;
    return bytes.toString("utf8");
}

function parseCompare(compare: EtcdCompare): { key: string; revision: number; } {
    return { key: decodeKey(compare.key), revision: Number(compare.mod_revision) };
}

function parseOperation(operation: EtcdOperation): KeyWrite {
    if (operation.request_put !== undefined) {
        const { key, value, lease } = operation.request_put;
        return { kind: "put", key: decodeKey(key), value: decodeBytes(value), leaseId: lease };
    }
    return { kind: "delete", key: decodeKey(operation.request_delete_range?.key ?? "") };
}

async function readJson(request: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request) {
        length += (chunk as Buffer).length;
        if (length > maximumRequestBytes) {
            throw new ValueTooLargeError("request", length);
        }
        chunks.push(chunk as Buffer);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8")) as unknown;
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
}

/** Sends a gRPC error; breaks the connection instead if the platform is unavailable or headers have been sent. */
function sendFailure(response: ServerResponse, error: unknown): void {
    if (error instanceof PlatformUnavailableError || response.headersSent) {
        response.destroy();
    }
    else if (error instanceof LeaseLostError) {
        sendJson(response, 404, { code: grpcNotFound, message: "etcdserver: requested lease not found" });
    }
    else {
        sendJson(response, 400, { code: grpcInvalidArgument, message: String(error) });
    }
}
