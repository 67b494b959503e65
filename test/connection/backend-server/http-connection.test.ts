import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import {
    defaultBackendServerConnectionSettings,
    HttpBackendServerConnection,
    HttpBackendServerConnections,
} from "../../../src/connection/backend-server/index.js";
import type { Attempt, AttemptOptions } from "../../../src/domain/backend-connection.js";
import type { BackendServerEvent, EngineFrame } from "../../../src/domain/engine-protocol.js";
import {
    expectedAnswer,
    HttpStageNetwork,
    StandInBackendServer,
    type StandInBackendServerOptions,
    WeightStore,
} from "../../../src/stand-ins/backend-server/index.js";
import { attemptOf, engineClass, engineOptions, messages, tokensOf } from "../../support/engines.js";

const dependencies = {
    settings: { ...defaultBackendServerConnectionSettings, silenceMilliseconds: 400, orderCredential: "secret" },
    logger: new SilentLogger(),
    metrics: new SilentMetrics(),
    random: new SeededRandom(1),
};

let network = new HttpStageNetwork();
let servers: StandInBackendServer[] = [];
let connections: HttpBackendServerConnection[] = [];
let rawServers: Server[] = [];

beforeEach(() => {
    jest.useRealTimers();
    network = new HttpStageNetwork();
    servers = [];
    connections = [];
    rawServers = [];
});

afterEach(async () => {
    connections.forEach(connection => connection.close());
    servers.forEach(server => server.stop());
    rawServers.forEach(server => server.close());
    await network.close();
});

async function startServer(
    id: string,
    first: number,
    last: number,
    options: Partial<StandInBackendServerOptions> = {},
) {
    const server = new StandInBackendServer(
        { ...engineOptions(id, { first, last }), heartbeatMilliseconds: 100, ...options },
        { network, weightStore: new WeightStore(1e9), random: new SeededRandom(servers.length) },
    );
    await server.start();
    servers.push(server);
    return server;
}

function connect(server: StandInBackendServer): HttpBackendServerConnection {
    return connectTo(server.engine.id, server.address);
}

function connectTo(id: string, address: string): HttpBackendServerConnection {
    const connection = new HttpBackendServerConnection(id, address, dependencies);
    connections.push(connection);
    return connection;
}

function stage(server: StandInBackendServer, first: number, last: number) {
    return { backendServer: server.engine.id, address: server.address, layers: { first, last } };
}

interface AttemptOutcome {
    readonly frames: EngineFrame[];
    readonly error?: unknown;
}

/** Collects the frames until the attempt ends or fails. */
function collectFrames(
    attempt: Attempt,
    onFrame: (frame: EngineFrame) => void = () => undefined,
): Promise<AttemptOutcome> {
    const frames: EngineFrame[] = [];
    return attempt.frames.observe(frame => {
        frames.push(frame);
        onFrame(frame);
    }).then(() => ({ frames }), (error: unknown) => ({ frames, error }));
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

/** Starts a TCP server that answers every request with a 200 header and the bytes that `reply` writes. */
async function startRawServer(reply: (write: (text: string) => void, close: () => void) => void): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.once("data", () => {
            socket.write("HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\n\r\n");
            reply(text => socket.write(text), () => socket.destroy());
        });
    });
    rawServers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe("HTTP connection to a backend server", () => {
    test("an answer passes through three backend servers, each layer once and in order", async () => {
        const fleet = [
            await startServer("a", 0, 3),
            await startServer("b", 4, 7),
            await startServer("c", 8, 11),
        ] as const;
        const stages = fleet.map((server, index) => stage(server, index * 4, index * 4 + 3));
        const { frames, error } = await collectFrames(connect(fleet[0]).startAttempt(attemptOf("1", stages)));
        expect(error).toBeUndefined();
        expect(tokensOf(frames).map(token => token.text)).toEqual(expectedAnswer(messages, 100).tokens);
        expect(tokensOf(frames).map(token => token.layers)).toEqual(
            Array.from({ length: 8 }, () => stages.map(used => used.layers)),
        );
        expect(frames.at(-1)).toMatchObject({ type: "end", count: 8 });
        for (const server of fleet) {
            expect(server.engine.record.runs.map(run => run.position)).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
        }
    });

    test("a refused connection reports that no bytes were written", async () => {
        const server = await startServer("a", 0, 11);
        server.refuse();
        const { error } = await collectFrames(connect(server).startAttempt(attemptOf("1", [stage(server, 0, 11)])));
        expect(error).toMatchObject({ failure: "refused", bytesWritten: false });
        expect(server.engine.record.attempts).toEqual([]);
    });

    test.each([{ freshConnection: false }, { freshConnection: true }])(
        "a backend server crash during an answer fails the attempt as broken (%p)",
        async (options: AttemptOptions) => {
            const server = await startServer("a", 0, 11);
            const attempt = connect(server).startAttempt(attemptOf("1", [stage(server, 0, 11)]), options);
            const { error } = await collectFrames(attempt, frame => frame.type === "token" && server.die());
            expect(error).toMatchObject({ failure: "broken", bytesWritten: true });
        },
    );

    test("a silent connection is replaced for the next attempt, and heartbeats keep a slow attempt alive", async () => {
        const server = await startServer("a", 0, 11);
        const connection = connect(server);
        server.engine.setStalled(true);
        const first = collectFrames(connection.startAttempt(attemptOf("1", [stage(server, 0, 11)])));
        const slow = collectFrames(connection.startAttempt(attemptOf("slow", [stage(server, 0, 11)])));
        await waitUntil(() => server.engine.record.attempts.length === 2);
        server.freezeConnections();
        expect(await first).toMatchObject({ error: { failure: "silent", bytesWritten: true } });
        await slow;
        let heartbeats = 0;
        const next = collectFrames(
            connection.startAttempt(attemptOf("2", [stage(server, 0, 11)])),
            frame => {
                heartbeats += frame.type === "heartbeat" ? 1 : 0;
                if (heartbeats === 6) {
                    server.engine.setStalled(false);
                }
            },
        );
        expect((await next).frames.at(-1)).toMatchObject({ type: "end", count: 8 });
    });

    test("after one pooled connection is silent, later attempts use a new connection", async () => {
        const server = await startServer("a", 0, 11);
        const connection = connect(server);
        await collectFrames(connection.startAttempt(attemptOf("1", [stage(server, 0, 11)])));
        server.freezeConnections();
        const fresh = connection.startAttempt(attemptOf("2", [stage(server, 0, 11)]), { freshConnection: true });
        expect((await collectFrames(fresh)).frames.at(-1)).toMatchObject({ type: "end" });
        const pooled = await collectFrames(connection.startAttempt(attemptOf("3", [stage(server, 0, 11)])));
        expect(pooled.error).toMatchObject({ failure: "silent" });
        const next = await collectFrames(connection.startAttempt(attemptOf("4", [stage(server, 0, 11)])));
        expect(next.frames.at(-1)).toMatchObject({ type: "end" });
    });

    test.each(["this is no frame\n", "null\n", `{"type":"token","attemptId":"other"}\n`, `${"x".repeat(1_100_000)}`])(
        "a malformed or oversized line, or a frame of another attempt, fails the attempt (%#)",
        async line => {
            const address = await startRawServer(write => write(line));
            const attempt = connectTo("a", address).startAttempt(attemptOf("1", []));
            expect(await collectFrames(attempt)).toMatchObject({ frames: [], error: { failure: "protocol" } });
        },
    );

    test("an answer without an end frame fails as broken, and characters split across chunks are decoded", async () => {
        const frame = `${JSON.stringify({ type: "token", attemptId: "1", text: "gräde" })}\n`;
        const bytes = Buffer.from(frame);
        const middle = bytes.indexOf(0xc3) + 1;
        const address = await startRawServer((write, close) => {
            write(bytes.toString("latin1", 0, 0));
            (write as (text: unknown) => void)(bytes.subarray(0, middle));
            setTimeout(() => {
                (write as (text: unknown) => void)(bytes.subarray(middle));
                setTimeout(close, 20);
            }, 20);
        });
        const outcome = await collectFrames(connectTo("a", address).startAttempt(attemptOf("1", [])));
        expect(outcome).toMatchObject({ frames: [{ text: "gräde" }], error: { failure: "broken" } });
    });

    test("a paused attempt does not count as silent", async () => {
        const server = await startServer("a", 0, 11, { class: { ...engineClass, layerTokensPerSecond: 1e8 } });
        const longAnswerMessages = [{ role: "user", content: "tokens=20000" }];
        const request = attemptOf("1", [stage(server, 0, 11)], { messages: longAnswerMessages, maximumTokens: 20_000 });
        const attempt = connect(server).startAttempt(request);
        const outcome = collectFrames(
            attempt,
            frame => frame.type === "token" && frame.position === 1 && attempt.pause(),
        );
        await waitUntil(() => server.engine.record.runs.length > 2);
        await new Promise(resolve => setTimeout(resolve, 600));
        attempt.resume();
        attempt.cancel();
        expect((await outcome).error).toBeUndefined();
    });

    test("cancelling an attempt ends it on the engine", async () => {
        const server = await startServer("a", 0, 11);
        server.engine.setStalled(true);
        const attempt = connect(server).startAttempt(attemptOf("1", [stage(server, 0, 11)]));
        const outcome = collectFrames(attempt);
        await waitUntil(() =>
            server.engine.currentStateEvents().some(event => event.type === "load" && event.load.runningAttempts === 1)
        );
        attempt.cancel();
        await waitUntil(() =>
            server.engine.currentStateEvents().some(event => event.type === "load" && event.load.runningAttempts === 0)
        );
        expect((await outcome).error).toBeUndefined();
    });

    test("the event stream reconnects after silence and after a broken connection", async () => {
        const server = await startServer("a", 0, 11);
        const events: BackendServerEvent[] = [];
        const connection = connect(server);
        connection.events.observe(event => void events.push(event)).catch(() => undefined);
        const holdings = () => events.filter(event => event.type === "holdings").length;
        await waitUntil(() => holdings() === 1);
        server.freezeConnections();
        await waitUntil(() => holdings() === 2);
        server.refuse();
        await server.accept();
        server.engine.drain();
        await waitUntil(() => events.some(event => event.type === "draining"));
    });

    test("orders carry the credential, and holdings can be read", async () => {
        const classWithCredentialCheck = { class: { ...engineClass, checksOrders: true }, orderCredential: "secret" };
        const right = await startServer("right", 0, 11, classWithCredentialCheck);
        const wrong = await startServer("wrong", 0, 11, { ...classWithCredentialCheck, orderCredential: "other" });
        const order = {
            orderId: "1",
            fencingNumber: 3,
            timeoutMilliseconds: 1_000,
            action: { kind: "change-role", role: "decode" },
        } as const;
        expect(await connect(right).sendOrder(order)).toMatchObject({ result: "done" });
        expect(await connect(wrong).sendOrder(order)).toMatchObject({ result: "refused" });
        expect(await connect(right).readHoldings(1_000)).toMatchObject({ role: "decode", fencingNumber: 3 });
        right.refuse();
        await expect(connect(right).readHoldings(1_000)).rejects.toMatchObject({ failure: "refused" });
    });

    test("a backend server with a new address gets a new connection", async () => {
        const serverConnections = new HttpBackendServerConnections(dependencies);
        const first = serverConnections.get("a", "http://127.0.0.1:1");
        expect(serverConnections.get("a", "http://127.0.0.1:1")).toBe(first);
        expect(serverConnections.get("a", "http://127.0.0.1:2")).not.toBe(first);
        serverConnections.close();
    });
});
