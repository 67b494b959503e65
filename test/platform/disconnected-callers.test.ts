import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

async function startFixture(): Promise<void> {
    const engines = [0, 10].map(from => {
        const engine = new StandInBackendServer(`engine-${from}`, "pool");
        engine.layers = { from, target: from + 10 };
        engine.eventMilliseconds = 50;
        return engine;
    });
    fixture = await GatewayFixture.start([...engines, new StandInBackendServer("app", "app")], 1);
    await fixture.waitUntil(() => fixture.isReady());
}

// A router whose event loop is late reads a request together with the disconnection of its caller.
test.each([["GET", "/look/1"], ["POST", "/book/1"], ["POST", "/report-text/1"]])(
    "%s %s is not sent to a server if its caller has left before the gateway reads it",
    async (method, path) => {
        await startFixture();
        // The placement leader asks engines for reports whatever callers do.
        const connectionCount = () =>
            fixture.servers.reduce(
                (sum, { connections, reportConnections }) => sum + connections - reportConnections,
                0,
            );
        const connectionsBefore = connectionCount();
        for (let count = 0; count < 20; count++) {
            await fixture.sendAndDisconnectAtOnce(method, path);
        }
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(fixture.servers.flatMap(({ received }) => received)).toEqual([]);
        await fixture.waitUntil(() => connectionCount() <= connectionsBefore);
    },
);

test("a stream that waits for a free server is not begun after its caller has left", async () => {
    await startFixture();
    fixture.servers.forEach(server => {
        server.behavior = "refuse";
    });
    const receivedCount = () => fixture.servers.reduce((sum, { received }) => sum + received.length, 0);
    const left = fixture.sendAndDisconnect("POST", "/report-text/1", 60);
    await fixture.waitUntil(() => receivedCount() === 1);
    fixture.servers.forEach(server => {
        server.behavior = "answer";
    });
    await left;
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(receivedCount()).toBe(1);
});
