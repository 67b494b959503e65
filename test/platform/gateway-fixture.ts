/** Runs a gateway with the adapter of the target platform against a stand-in store and backend servers on loopback. */
import { type IncomingHttpHeaders, request } from "node:http";
import { type AddressInfo, connect, createServer } from "node:net";
import { decodeConfiguration } from "../../platform/decode-configuration.js";
import { decodeServerEntry } from "../../platform/decode-server.js";
import { platformDialect } from "../../platform/dialect.js";
import {
    blockedPartKeyPrefix,
    configurationKey,
    crashEvidenceKeyPrefix,
    fleetStartedKey,
    placementLeaderKey,
    processKeyPrefix,
    rootPrefix,
    routerKeyPrefix,
    serverKeyPrefix,
} from "../../platform/keys.js";
import { StoreClient } from "../../platform/store-client.js";
import { SilentLogger } from "../../src/common/logger.js";
import { endsInOrder } from "../../src/connection/gateway/orderly-end.js";
import { encodeNotice, noticePath } from "../../src/connection/gateway/peer-notices.js";
import { Gateway } from "../../src/daemon/gateway/gateway.js";
import type { PlacementNotice } from "../../src/domain/gateway/placement-notice.js";
import type { SocketAddress } from "../../src/domain/gateway/server-entry.js";
import type { GatewaySettings } from "../../src/process/gateway/settings.js";
import { boundary, failures } from "../support/failures.js";
import { createStoreEra } from "../support/store-positions.js";
import type { StandInBackendServer } from "./stand-ins/backend-server.js";
import { StandInStore } from "./stand-ins/store.js";

export interface GatewayResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the body is complete according to its HTTP framing. */
    readonly complete: boolean;
}

export interface RawCallerResponse {
    /** Whether the connection was ended in order rather than reset. */
    readonly endedInOrder: boolean;
    /** Head and body as received. */
    readonly text: string;
}

const route = {
    host: "yard.example",
    timeout_ms: 1_000,
    target_latency_ms: 300,
    max_attempts: 2,
    priority: 1,
    public: false,
};

export const engine = {
    slots: 10,
    kv_token_bytes: 200_000,
    models: [{ name: "m", load_s: 1 }],
    step_ms: 1,
    per_seq_ms: 0.01,
    context_per_k: 0.01,
    read_per_s: 100_000,
    report_lag_ms: 200,
    loads_at_once: 4,
    usual: { prompt: 700, answer: 150 },
    layers: 20,
    layer_mb: 1_000,
    act_bytes: 40_000,
    pipe_mbps: 13_000,
    kinds: [{ name: "small", mb: 20_000, pace: 10, read_x: 10 }],
};

export function configuration(version: number, changes: Record<string, unknown> = {}): Record<string, unknown> {
    return {
        version,
        routes: [
            { ...route, name: "look", path_prefix: "/look/", kind: "idempotent", service: "app" },
            { ...route, name: "book", path_prefix: "/book/", kind: "non_idempotent", service: "app", max_attempts: 1 },
            {
                ...route,
                name: "report",
                path_prefix: "/report-text/",
                kind: "streaming",
                service: "pool",
                stream_resume: true,
                gap_aim_ms: 200,
                timeout_ms: 5_000,
            },
        ],
        services: [
            { name: "app", health_path: "/health", max_connections: 100 },
            { name: "pool", health_path: "/health", max_connections: 100, engine },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 2_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "haddow", api_keys: ["key-1"] }],
        ...changes,
    };
}

/** A running gateway and the ports that tests use. */
interface RunningGateway {
    readonly gateway: Gateway;
    readonly callerPort: number;
    readonly readinessPort: number;
    readonly peerAddress: SocketAddress;
}

export class GatewayFixture {
    readonly store = new StandInStore();
    readonly servers: StandInBackendServer[] = [];
    /** Tests send their requests to the first gateway. */
    private readonly gateways: RunningGateway[] = [];

    /** Registers the servers, publishes the configuration if a version is given, and starts a gateway. */
    static async start(
        servers: readonly StandInBackendServer[],
        version?: number,
        bounds: Partial<GatewaySettings["bounds"]> = {},
    ): Promise<GatewayFixture> {
        const fixture = new GatewayFixture(bounds);
        const address = await fixture.store.start();
        fixture.recordFormerProcess("edge-1");
        for (const server of servers) {
            await server.start();
            fixture.servers.push(server);
            fixture.register(server);
        }
        if (version !== undefined) {
            fixture.store.put(configurationKey, configuration(version));
        }
        fixture.gateways.push(await startGateway("edge-1", address, [], bounds));
        return fixture;
    }

    get callerPort(): number {
        return this.gateways[0]!.callerPort;
    }

    /** Port at which other routers reach the gateway. */
    get peerPort(): number {
        return this.gateways[0]!.peerAddress.port;
    }

    /** Starts another gateway, whose store connections are all refused, and directs the tests' requests to it. */
    async addGatewayWithoutStore(): Promise<void> {
        const [closedPort] = await freePorts(1);
        const store = { host: "127.0.0.1", port: closedPort! };
        this.gateways.unshift(await startGateway("edge-2", store, [this.gateways[0]!.peerAddress]));
    }

    /** The bounds hold for all gateways. */
    private constructor(private readonly bounds: Partial<GatewaySettings["bounds"]>) {}

    /** Starts another gateway on the same store; returns its number, which `sendTo` takes. */
    async addGateway(): Promise<number> {
        const number = this.gateways.length;
        this.recordFormerProcess(`edge-${number + 1}`);
        this.gateways.push(await startGateway(`edge-${number + 1}`, this.store.address, [], this.bounds));
        return number;
    }

    /** Lets a gateway use a part of the retry budget at once, as one that starts again, instead of after its registration. */
    private recordFormerProcess(name: string): void {
        this.store.put(fleetStartedKey, "1");
        this.store.put(processKeyPrefix + name, "settled");
    }

    register(server: StandInBackendServer, changes: Record<string, unknown> = {}): void {
        this.store.put(`${serverKeyPrefix}${server.id}`, server.entry(changes));
    }

    publish(version: number, changes: Record<string, unknown> = {}): void {
        this.store.put(configurationKey, configuration(version, changes));
    }

    /** Polls the condition every 20 ms until it holds; fails after 400 checks. */
    async waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
        for (let check = 0; check < 400; check++) {
            if (await condition()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        throw new TypeError("condition not met within 400 checks");
    }

    async isReady(gateway = 0): Promise<boolean> {
        return (await sendRequest(this.gateways[gateway]!.readinessPort, "GET", "/ready", {})).status === 200;
    }

    send(method: string, path: string, headers: Record<string, string> = {}, body?: string): Promise<GatewayResponse> {
        return this.sendTo(0, method, path, headers, body);
    }

    sendTo(
        gateway: number,
        method: string,
        path: string,
        headers: Record<string, string> = {},
        body?: string,
    ): Promise<GatewayResponse> {
        return sendRequest(this.gateways[gateway]!.callerPort, method, path, {
            "Host": "yard.example",
            "Authorization": "Bearer key-1",
            "X-Attempt-Id": "attempt-1",
            "X-Deadline-Ms": "2000",
            ...headers,
        }, body);
    }

    /** Sends a placement notice in the role of the placement leader. */
    sendPlacementNotice(
        servers: PlacementNotice["servers"],
        retryGrants: PlacementNotice["retryGrants"] = new Map(),
        slowdowns: PlacementNotice["slowdowns"] = new Map(),
        storeEra?: number,
    ): Promise<GatewayResponse> {
        const body = encodeNotice({
            sender: "leader",
            storeEra,
            servers,
            otherLoads: new Map(),
            retryGrants,
            slowdowns,
        }).toString();
        return sendRequest(this.gateways[0]!.peerAddress.port, "POST", noticePath, {}, body);
    }

    /** Sends a request and closes the connection after the given time; resolves once the connection is closed. */
    sendAndDisconnect(method: string, path: string, milliseconds: number): Promise<void> {
        const headers = {
            "Host": "yard.example",
            "Authorization": "Bearer key-1",
            "X-Attempt-Id": "leaver",
            "X-Deadline-Ms": "900",
        };
        return new Promise(resolve => {
            const sent = request({ host: "127.0.0.1", port: this.callerPort, method, path, headers, agent: false });
            sent.on("error", () => undefined);
            sent.on("close", () => resolve());
            sent.end();
            setTimeout(() => sent.destroy(), milliseconds);
        });
    }

    /** Sends a request and closes the connection at once, so that the gateway reads both in the same turn or the next. */
    sendAndDisconnectAtOnce(method: string, path: string): Promise<void> {
        const lines = [
            `${method} ${path} HTTP/1.1`,
            "Host: yard.example",
            "Authorization: Bearer key-1",
            "X-Attempt-Id: leaver",
            "X-Deadline-Ms: 2000",
            "Content-Length: 6",
            "",
            "prompt",
        ];
        return new Promise((resolve, reject) => {
            const socket = connect(this.callerPort, "127.0.0.1", () => {
                socket.end(lines.join("\r\n"));
                socket.destroy();
            });
            socket.on("error", reject);
            socket.on("close", () => resolve());
        });
    }

    /** Sends a request of HTTP/1.0. */
    async sendVersion10(method: string, path: string, body: string): Promise<RawCallerResponse> {
        const lines = [
            `${method} ${path} HTTP/1.0`,
            "Host: yard.example",
            "Authorization: Bearer key-1",
            "X-Attempt-Id: attempt-1",
            "X-Deadline-Ms: 2000",
            `Content-Length: ${body.length}`,
            "",
            body,
        ];
        const socket = connect(this.callerPort, "127.0.0.1", () => socket.write(lines.join("\r\n")));
        const result = endsInOrder(socket, boundary);
        const chunks: Buffer[] = [];
        socket.on("data", (data: Buffer) => chunks.push(data));
        // The result tells of it.
        socket.on("error", () => undefined);
        return { endedInOrder: await result, text: Buffer.concat(chunks).toString() };
    }

    /** Stops the gateway that tests send their requests to; resolves once it has stopped. */
    stopGateway(): Promise<void> {
        return this.gateways[0]!.gateway.stop();
    }

    /** Stops all gateways and starts as many new ones, which know nothing but what the store holds. */
    async restartGateways(): Promise<void> {
        const stopped = this.gateways.splice(0);
        await Promise.all(stopped.map(({ gateway }) => gateway.stop()));
        for (const _gateway of stopped) {
            await this.addGateway();
        }
    }

    async stop(): Promise<void> {
        await Promise.all(this.gateways.map(({ gateway }) => gateway.stop()));
        await Promise.all(this.servers.map(server => server.stop()));
        await this.store.stop();
    }
}

async function startGateway(
    name: string,
    store: SocketAddress,
    contacts: readonly SocketAddress[],
    bounds: Partial<GatewaySettings["bounds"]> = {},
): Promise<RunningGateway> {
    const [callers, readiness, peers, metrics] = await freePorts(4);
    const local = (port: number | undefined) => ({ host: "127.0.0.1", port: port! });
    const storeEra = createStoreEra();
    const gateway = new Gateway({
        router: { name, availabilityZone: "north", region: "land" },
        listen: {
            callers: local(callers),
            readiness: local(readiness),
            peers: local(peers),
            metrics: local(metrics),
        },
        contacts: [...contacts],
        store: { address: store, minimumLeaseMilliseconds: 1_000 },
        machine: { maximumDescriptors: 1_000, memoryMegabytes: 200 },
        bounds: {
            drainMilliseconds: 400,
            shutdownGraceSeconds: 2,
            configurationApplyMilliseconds: 2_000,
            retryRatio: 0.2,
            retryWindowSeconds: 10,
            retryExtra: 100,
            stallMilliseconds: 3_000,
            ...bounds,
        },
    }, {
        store: new StoreClient(store, failures, storeEra),
        storeEra,
        layout: {
            rootPrefix,
            configurationKey,
            serverKeyPrefix,
            routerKeyPrefix,
            fleetStartedKey,
            processKeyPrefix,
            placementLeaderKey,
            crashEvidenceKeyPrefix,
            blockedPartKeyPrefix,
            decodeConfiguration,
            decodeServer: decodeServerEntry,
        },
        dialect: platformDialect,
    }, new SilentLogger());
    await gateway.start();
    return { gateway, callerPort: callers!, readinessPort: readiness!, peerAddress: local(peers) };
}

function sendRequest(
    port: number,
    method: string,
    path: string,
    headers: Record<string, string>,
    body?: string,
): Promise<GatewayResponse> {
    return new Promise((resolve, reject) => {
        const sent = request({ host: "127.0.0.1", port, method, path, headers, agent: false }, response => {
            const chunks: Buffer[] = [];
            const finish = () =>
                resolve({
                    status: response.statusCode!,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString(),
                    complete: response.complete,
                });
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("close", finish);
            response.on("error", finish);
        });
        sent.on("error", reject);
        sent.end(body);
    });
}

async function freePorts(count: number): Promise<number[]> {
    const servers = await Promise.all(
        Array.from({ length: count }, () =>
            new Promise<ReturnType<typeof createServer>>(resolve => {
                const server = createServer();
                server.listen(0, "127.0.0.1", () => resolve(server));
            })),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
