/** Client of the platform's key-value service, which speaks the etcd v3 API as JSON over HTTP. */
import type { Stream } from "most";
import { JsonLineSplitter } from "../../common/json-lines.js";
import { createStream } from "../../common/streams.js";
import {
    decodeBytes,
    decodeKey,
    encodeBytes,
    encodeKey,
    encodePrefixEnd,
    type EtcdErrorResponse,
    type EtcdKeyValue,
    type EtcdLeaseResponse,
    type EtcdOperation,
    etcdPaths,
    type EtcdRangeRequest,
    type EtcdRangeResponse,
    type EtcdStreamMessage,
    type EtcdTransactionRequest,
    type EtcdTransactionResponse,
    type EtcdWatchRequest,
    type EtcdWatchResponse,
} from "../../domain/etcd-protocol.js";
import {
    type KeyValueEntry,
    type KeyValueService,
    type KeyWrite,
    maximumValueBytes,
    type Transaction,
    type TransactionResult,
    type WatchEvent,
} from "../../domain/platform.js";
import { LeaseLostError, PlatformUnavailableError, ValueTooLargeError } from "../../errors/index.js";
import type { HttpPlatformClient } from "./http-platform-client.js";

const millisecondsPerSecond = 1_000;
const statusNotFound = 404;
const statusOk = 200;

/** Durations of leases are rounded up to whole seconds, as the protocol requires. */
export class HttpKeyValueService implements KeyValueService {
    constructor(private readonly client: HttpPlatformClient) {}

    async get(key: string, timeoutMilliseconds: number): Promise<KeyValueEntry | undefined> {
        const [entry] = await this.range({ key: encodeKey(key) }, timeoutMilliseconds);
        return entry;
    }

    async list(
        prefix: string,
        timeoutMilliseconds: number,
        maximumEntries?: number,
        afterKey?: string,
    ): Promise<readonly KeyValueEntry[]> {
        const limit = maximumEntries === undefined ? {} : { limit: String(maximumEntries) };
        const firstKey = afterKey === undefined ? prefix : `${afterKey}\0`;
        const request = { key: encodeKey(firstKey), range_end: encodePrefixEnd(prefix), ...limit };
        return this.range(request, timeoutMilliseconds);
    }

    async transact(transaction: Transaction, timeoutMilliseconds: number): Promise<TransactionResult> {
        checkValueSizes(transaction.writes);
        const request: EtcdTransactionRequest = {
            compare: transaction.conditions.map(({ key, revision }) => ({
                result: "EQUAL",
                target: "MOD",
                key: encodeKey(key),
                mod_revision: String(revision),
            })),
            success: transaction.writes.map(formatWrite),
        };
        const response = await this.call<EtcdTransactionResponse>(
            etcdPaths.transaction,
            request,
            timeoutMilliseconds,
            true,
        );
        return { succeeded: response.succeeded ?? false, revision: Number(response.header?.revision ?? 0) };
    }

    async grantLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<string> {
        const request = { TTL: String(Math.ceil(timeToLiveMilliseconds / millisecondsPerSecond)) };
        const response = await this.call<EtcdLeaseResponse>(etcdPaths.leaseGrant, request, timeoutMilliseconds, true);
        return response.ID ?? "";
    }

    async keepLeaseAlive(leaseId: string, timeoutMilliseconds: number): Promise<void> {
        const response = await this.call<EtcdStreamMessage<EtcdLeaseResponse>>(
            etcdPaths.leaseKeepAlive,
            { ID: leaseId },
            timeoutMilliseconds,
            true,
        );
        if (Number(response.result?.TTL ?? 0) <= 0) {
            throw new LeaseLostError(leaseId);
        }
    }

    async revokeLease(leaseId: string, timeoutMilliseconds: number): Promise<void> {
        const { status, body } = await this.client.call(
            etcdPaths.leaseRevoke,
            { ID: leaseId },
            timeoutMilliseconds,
            true,
        );
        if (status === statusNotFound) {
            throw new LeaseLostError(leaseId);
        }
        checkStatus(status, body);
    }

    watch(prefix: string, afterRevision?: number): Stream<WatchEvent> {
        const request: EtcdWatchRequest = {
            create_request: {
                key: encodeKey(prefix),
                range_end: encodePrefixEnd(prefix),
                ...(afterRevision === undefined ? {} : { start_revision: String(afterRevision + 1) }),
            },
        };
        return createStream<WatchEvent>(emitter => {
            const controller = new AbortController();
            const splitter = new JsonLineSplitter();
            const onChunk = (chunk: Uint8Array) => {
                for (const line of splitter.push(chunk)) {
                    parseWatchLine(line).forEach(event => emitter.next(event));
                }
            };
            const endedError = new PlatformUnavailableError("The platform ended the watch.", false);
            this.client.stream(etcdPaths.watch, request, controller.signal, onChunk)
                .then(() => emitter.fail(endedError))
                .catch((error: unknown) => {
                    if (!controller.signal.aborted) {
                        emitter.fail(error instanceof PlatformUnavailableError ? error : endedError);
                    }
                });
            return () => controller.abort();
        });
    }

    private async range(request: EtcdRangeRequest, timeoutMilliseconds: number): Promise<KeyValueEntry[]> {
        const response = await this.call<EtcdRangeResponse>(etcdPaths.range, request, timeoutMilliseconds, false);
        return (response.kvs ?? []).map(parseEntry);
    }

    private async call<Response>(
        path: string,
        request: unknown,
        timeoutMilliseconds: number,
        isWrite: boolean,
    ): Promise<Response> {
        const { status, body } = await this.client.call(path, request, timeoutMilliseconds, isWrite);
        checkStatus(status, body);
        return body as Response;
    }
}

function checkValueSizes(writes: readonly KeyWrite[]): void {
    for (const write of writes) {
        if (write.kind === "put" && write.value.byteLength > maximumValueBytes) {
            throw new ValueTooLargeError(write.key, write.value.byteLength);
        }
    }
}

/** Throws for any status but 200. A call refused by its status has had no effect. */
function checkStatus(status: number, body: unknown): void {
    if (status !== statusOk) {
        const { message } = body as EtcdErrorResponse;
        throw new PlatformUnavailableError(`The platform refused the call with status ${status}: ${message}`, false);
    }
}

function formatWrite(write: KeyWrite): EtcdOperation {
    if (write.kind === "delete") {
        return { request_delete_range: { key: encodeKey(write.key) } };
    }
    const lease = write.leaseId === undefined ? {} : { lease: write.leaseId };
    return { request_put: { key: encodeKey(write.key), value: encodeBytes(write.value), ...lease } };
}

function parseEntry(entry: EtcdKeyValue): KeyValueEntry {
    return {
        key: decodeKey(entry.key),
        value: decodeBytes(entry.value),
        revision: Number(entry.mod_revision ?? 0),
    };
}

function parseWatchLine(line: string): WatchEvent[] {
    const { result } = JSON.parse(line) as EtcdStreamMessage<EtcdWatchResponse>;
    if (result?.canceled) {
        throw new PlatformUnavailableError("The platform canceled the watch.", false);
    }
    return (result?.events ?? []).map(event => ({
        kind: event.type === "DELETE" ? "delete" : "put",
        entry: parseEntry(event.kv),
    }));
}
