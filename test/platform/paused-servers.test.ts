import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

const streamHeaders = { "X-Token-Counts": "700,150", "X-Deadline-Ms": "5000" };
const receivedBy = (server: StandInBackendServer) => server.received.length;
const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

function createRefusing(id: string, service: string, layers?: { from: number; target: number; }): StandInBackendServer {
    const server = new StandInBackendServer(id, service);
    server.layers = layers;
    server.behavior = "refuse";
    server.retryAfter = "1.5";
    return server;
}

async function start(servers: readonly StandInBackendServer[]): Promise<void> {
    fixture = await GatewayFixture.start(servers, 1);
    await fixture.waitUntil(async () => (await fixture.send("GET", "/nowhere/")).status === 404);
}

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

describe("a server that answers 503 with Retry-After", () => {
    test("gets no plain requests in that time, and callers are told to come back after it", async () => {
        const app = createRefusing("app", "app");
        await start([app]);
        await fixture.send("GET", "/look/1");
        const pausedAt = performance.now();
        app.behavior = "answer";
        while (performance.now() - pausedAt < 1_200) {
            const response = await fixture.send("GET", "/look/1");
            expect(response.status).toBe(503);
            const returnsAt = performance.now() + Number(response.headers["retry-after"]) * 1_000;
            expect(returnsAt).toBeGreaterThanOrEqual(pausedAt + 1_490);
            await pause(100);
        }
        expect(receivedBy(app)).toBe(1);
        await pause(400);
        expect(await fixture.send("GET", "/look/1")).toMatchObject({ status: 200 });
    });

    test("gets no streams in that time, which are refused at once instead of waiting for it", async () => {
        const engine = createRefusing("engine", "pool", { from: 0, target: 10 });
        const other = new StandInBackendServer("other", "pool");
        other.layers = { from: 10, target: 20 };
        await start([engine, other]);
        await fixture.waitUntil(() => fixture.isReady());
        const first = await fixture.send("POST", "/report-text/1", streamHeaders, "prompt");
        expect(first.status).toBe(503);
        expect(Number(first.headers["retry-after"])).toBeGreaterThan(1.4);
        engine.behavior = "answer";
        const startedAt = performance.now();
        const second = await fixture.send("POST", "/report-text/1", streamHeaders, "prompt");
        expect(second.status).toBe(503);
        expect(performance.now() - startedAt).toBeLessThan(100);
        expect(receivedBy(engine)).toBe(1);
        await pause(1_500);
        expect(await fixture.send("POST", "/report-text/1", streamHeaders, "prompt")).toMatchObject({ status: 200 });
    });

    test("gets a waiting stream after that time if it is short", async () => {
        const engine = createRefusing("engine", "pool", { from: 0, target: 10 });
        const other = new StandInBackendServer("other", "pool");
        other.layers = { from: 10, target: 20 };
        engine.retryAfter = "0.3";
        await start([engine, other]);
        await fixture.waitUntil(() => fixture.isReady());
        const response = fixture.send("POST", "/report-text/1", streamHeaders, "prompt");
        await fixture.waitUntil(() => receivedBy(engine) === 1);
        engine.behavior = "answer";
        expect(await response).toMatchObject({ status: 200, complete: true });
        const [refused, run] = engine.received;
        expect(run!.receivedAt - refused!.receivedAt).toBeGreaterThanOrEqual(295);
    });
});
