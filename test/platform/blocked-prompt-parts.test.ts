/** A block that begins at an awkward moment of a request with the part. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { GatewayFixture, type GatewayResponse } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

const blockKey = "pomelostall/blocked-prompt-parts/bad1";
const noticeMilliseconds = 600;

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
const arrivalCount = () => fixture.servers.reduce((sum, { received }) => sum + received.length, 0);
const sendBlocked = (method: string, path: string): Promise<GatewayResponse> =>
    fixture.send(
        method,
        path,
        { "X-Prompt-Prefix": "c0:5,bad1:5,a1:5", "X-Deadline-Ms": "5000" },
        method === "GET" ? undefined : "prompt",
    );

async function start(...servers: StandInBackendServer[]): Promise<void> {
    fixture = await GatewayFixture.start(servers, 1);
    await fixture.waitUntil(async () => (await fixture.send("GET", "/nowhere/")).status === 404);
}

const createEngines = () =>
    [0, 10].map(from => {
        const server = new StandInBackendServer(`engine-${from}`, "pool");
        server.layers = { from, target: from + 10 };
        return server;
    });

test("a request that waits for engines while its part is blocked is refused, and later ones do not wait", async () => {
    await start();
    const response = sendBlocked("POST", "/report-text/1");
    await pause(50);
    fixture.store.put(blockKey, "{}");
    await pause(200);
    expect((await sendBlocked("POST", "/report-text/2")).body).toContain("prompt-part-blocked");
    for (const server of createEngines()) {
        await server.start();
        fixture.servers.push(server);
        fixture.register(server);
    }
    expect(await response).toMatchObject({ status: 503 });
    expect((await response).body).toContain("prompt-part-blocked");
    expect(arrivalCount()).toBe(0);
});

test("a stream whose part is blocked while it runs is not resumed elsewhere when it breaks off", async () => {
    const engines = createEngines();
    engines.forEach(engine => {
        engine.behavior = "break-first-run";
        engine.eventMilliseconds = 300;
    });
    await start(...engines);
    await fixture.waitUntil(() => fixture.isReady());
    const response = sendBlocked("POST", "/report-text/1");
    await pause(200);
    fixture.store.put(blockKey, "{}");
    expect(await response).toMatchObject({ status: 200, complete: false });
    expect(arrivalCount()).toBe(1);
});

test("a request to a plain service with a blocked part is refused, and not retried if it may have run", async () => {
    const apps = [new StandInBackendServer("app-1", "app"), new StandInBackendServer("app-2", "app")];
    apps.forEach(app => {
        app.behavior = "mute";
    });
    await start(...apps);
    const response = sendBlocked("GET", "/look/1");
    await pause(50);
    fixture.store.put(blockKey, "{}");
    await pause(noticeMilliseconds);
    apps.find(({ received }) => received.length > 0)!.crash();
    expect(await response).toMatchObject({ status: 502 });
    expect((await sendBlocked("GET", "/look/2")).body).toContain("prompt-part-blocked");
    expect(arrivalCount()).toBe(1);
});
