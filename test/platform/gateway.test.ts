import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { GatewayFixture } from "./gateway-fixture.js";
import { type Behavior, StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const createEngines = () =>
    [0, 10].map(from => {
        const server = new StandInBackendServer(`engine-${from}`, "pool");
        server.layers = { from, target: from + 10 };
        return server;
    });

describe("plain services", () => {
    const createApps = () => [new StandInBackendServer("app-1", "app"), new StandInBackendServer("app-2", "app")];
    const receivedRequestCount = () => fixture.servers.reduce((sum, { received }) => sum + received.length, 0);

    async function startWith(behavior: Behavior): Promise<void> {
        const servers = createApps();
        servers.forEach(server => {
            server.behavior = behavior;
        });
        fixture = await GatewayFixture.start(servers, 1);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/nowhere/")).status === 404);
    }

    test("forwards method, target, body and headers, removes the API key and sets the customer", async () => {
        await startWith("answer");
        const response = await fixture.send("POST", "/book/7?x=1", { "X-Tenant": "somebody", "X-Own": "a" }, "body");
        expect(response).toMatchObject({ status: 200, complete: true });
        expect(response.headers).toMatchObject({
            "x-replica-seal": expect.stringMatching(/^seal-app/) as unknown as string,
        });
        const [received] = fixture.servers.flatMap(({ received: requests }) => requests);
        expect(received).toMatchObject({ method: "POST", url: "/book/7?x=1", body: "body" });
        expect(received!.headers).toMatchObject({ "x-tenant": "haddow", "x-own": "a", "x-attempt-id": "attempt-1" });
        expect(received!.headers["authorization"]).toBeUndefined();
        expect(Number(received!.headers["x-deadline-ms"])).toBeLessThanOrEqual(1_000);
    });

    test.each<[Behavior, number]>([
        ["fail", 500],
        ["reset", 502],
        ["truncate", 502],
        ["no-proof", 502],
        ["other-id", 502],
        ["encoded", 502],
        ["mute", 504],
    ])('a non-idempotent request is sent once when servers behave as "%s"', async (behavior, status) => {
        await startWith(behavior);
        expect(await fixture.send("POST", "/book/1", {}, "x")).toMatchObject({ status });
        expect(receivedRequestCount()).toBe(1);
    });

    test("a refused non-idempotent request is retried on another server and gets 503 with Retry-After", async () => {
        await startWith("refuse");
        const response = await fixture.send("POST", "/book/1", {}, "x");
        expect(response.status).toBe(503);
        expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
        expect(receivedRequestCount()).toBe(2);
    });

    test.each<Behavior>(["fail", "reset", "truncate", "no-proof", "other-id", "encoded"])(
        'an idempotent request is retried on another server when one server behaves as "%s"',
        async behavior => {
            await startWith("answer");
            fixture.servers[0]!.behavior = behavior;
            for (let count = 0; count < 6; count++) {
                expect(await fixture.send("GET", "/look/1")).toMatchObject({ status: 200, body: "answer of app-2" });
                fixture.servers[0]!.received.length = 0;
            }
        },
    );

    test("responds with 401 to an unknown key, 404 to an unknown path and 413 to a body over the limit", async () => {
        await startWith("answer");
        expect(await fixture.send("GET", "/look/1", { Authorization: "Bearer other" })).toMatchObject({ status: 401 });
        expect(await fixture.send("GET", "/other/1")).toMatchObject({ status: 404 });
        expect(await fixture.send("POST", "/book/1", {}, "x".repeat(2_001))).toMatchObject({ status: 413 });
        expect(receivedRequestCount()).toBe(0);
    });

    test("responds with 431 to headers over the configured limit, without forwarding the request", async () => {
        await startWith("answer");
        expect(await fixture.send("GET", "/look/1", { "X-Own": "x".repeat(16_384) })).toMatchObject({ status: 431 });
        expect(await fixture.send("GET", "/look/1", { "X-Own": "x".repeat(15_000) })).toMatchObject({ status: 200 });
        expect(receivedRequestCount()).toBe(1);
    });

    test("an idempotent request is not retried after its caller has disconnected", async () => {
        await startWith("mute");
        await expect(fixture.sendAndDisconnect("GET", "/look/1", 100)).resolves.toBeUndefined();
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(receivedRequestCount()).toBe(1);
    });

    test("a server receives no requests once the gateway knows that it is draining", async () => {
        await startWith("answer");
        fixture.register(fixture.servers[0]!, { state: "draining" });
        await new Promise(resolve => setTimeout(resolve, 400));
        for (let count = 0; count < 10; count++) {
            await fixture.send("GET", "/look/1");
        }
        expect(fixture.servers[0]!.received).toEqual([]);
    });
});

describe("configuration", () => {
    test("responds with 503 before the first version, applies newer versions and ignores older ones", async () => {
        fixture = await GatewayFixture.start([new StandInBackendServer("app-1", "app")]);
        expect(await fixture.send("GET", "/look/1")).toMatchObject({ status: 503 });
        fixture.publish(5);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        fixture.publish(4, { routes: [] });
        fixture.publish(6, { tenants: [{ name: "other", api_keys: ["key-2"] }] });
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 401);
    });

    // Once the last customer was gone, everybody could send, without a key.
    test("lets nobody in if its list of customers is empty, and everybody if it has none", async () => {
        const app = new StandInBackendServer("app-1", "app");
        fixture = await GatewayFixture.start([app], 1);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        fixture.publish(2, { tenants: [] });
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 401);
        const before = app.received.length;
        expect(await fixture.send("GET", "/look/1", { Authorization: "" })).toMatchObject({ status: 401 });
        expect(app.received.length).toBe(before);
        fixture.publish(3, { tenants: undefined });
        await fixture.waitUntil(async () =>
            (await fixture.send("GET", "/look/1", { Authorization: "" })).status === 200
        );
    });

    test("is updated after the store has compacted its history, and after a store outage", async () => {
        fixture = await GatewayFixture.start([new StandInBackendServer("app-1", "app")], 1);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        fixture.publish(2, { routes: [] });
        fixture.store.compact();
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 404);
        fixture.store.down = true;
        fixture.store.compact();
        await new Promise(resolve => setTimeout(resolve, 300));
        fixture.publish(3);
        fixture.store.down = false;
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
    });

    test("is read from another router, with the registry, when the store refuses connections", async () => {
        fixture = await GatewayFixture.start([new StandInBackendServer("app-1", "app")], 1);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        await fixture.addGatewayWithoutStore();
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        fixture.publish(2, { tenants: [{ name: "other", api_keys: ["key-2"] }] });
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 401);
        fixture.publish(3);
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 200);
        fixture.register(fixture.servers[0]!, { state: "draining" });
        await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).status === 503);
    });
});

describe("streams", () => {
    const completeStream = Array.from(
        { length: 10 },
        (_value, index) => `id: ${index + 1}\ndata: word ${index + 1}\n\n`,
    )
        .join("");
    const headers = { "X-Token-Counts": "700,150" };

    async function startWithEngines(): Promise<void> {
        fixture = await GatewayFixture.start([
            ...createEngines(),
            ...createEngines().map(server => createReplica(server)),
        ], 1);
        await fixture.waitUntil(() => fixture.isReady());
    }

    const createReplica = (server: StandInBackendServer) => {
        const copy = new StandInBackendServer(`${server.id}-copy`, "pool");
        copy.layers = server.layers;
        return copy;
    };

    test("run on a path that covers every layer, and arrive complete", async () => {
        await startWithEngines();
        const response = await fixture.send("POST", "/report-text/1", headers, "prompt");
        expect(response).toMatchObject({ status: 200, complete: true, body: completeStream });
        const path = fixture.servers.flatMap(({ received }) => received)[0]!.headers["x-hop-count"] as string;
        expect(path).toMatch(/^127\.0\.0\.1:\d+=0-10,127\.0\.0\.1:\d+=10-20$/);
    });

    test("resume after the last complete event when the first attempt breaks off", async () => {
        await startWithEngines();
        const first = fixture.servers.filter(({ layers }) => layers!.from === 0);
        first.forEach(server => {
            server.behavior = "break-first-run";
        });
        const response = await fixture.send("POST", "/report-text/1", headers, "prompt");
        expect(response).toMatchObject({ status: 200, complete: true, body: completeStream });
        const runs = first.flatMap(({ received }) => received);
        expect(runs).toHaveLength(2);
        const resumed = runs.find(run => run.headers["last-event-id"] !== undefined)!;
        expect(resumed.headers["last-event-id"]).toBe("3");
    });

    test("wait while every server refuses the request, and start once a server accepts it", async () => {
        await startWithEngines();
        fixture.servers.forEach(server => {
            server.behavior = "refuse";
        });
        setTimeout(() =>
            fixture.servers.forEach(server => {
                server.behavior = "answer";
            }), 150);
        const response = await fixture.send(
            "POST",
            "/report-text/1",
            { ...headers, "X-Deadline-Ms": "5000" },
            "prompt",
        );
        expect(response).toMatchObject({ status: 200, complete: true, body: completeStream });
    });

    test("move off a server without layers according to a notice, and keep the first server", async () => {
        await startWithEngines();
        fixture.servers.forEach(server => {
            server.eventMilliseconds = 60;
        });
        const response = fixture.send("POST", "/report-text/1", { ...headers, "X-Deadline-Ms": "5000" }, "prompt");
        await fixture.waitUntil(() => fixture.servers.some(({ received }) => received.length > 0));
        const first = fixture.servers.find(({ received }) => received.length > 0)!;
        const path = first.received[0]!.headers["x-hop-count"] as string;
        const second = fixture.servers.find(({ layers, address }) => layers!.from === 10 && path.includes(address))!;
        await new Promise(resolve => setTimeout(resolve, 150));
        expect(await fixture.sendPlacementNotice([{ id: second.id, bornAt: 1, layers: undefined, lost: false }]))
            .toMatchObject({ status: 200 });
        expect(await response).toMatchObject({ status: 200, complete: true, body: completeStream });
        expect(first.orders).toHaveLength(1);
        expect(first.orders[0]).toMatchObject({ op: "repath", id: "attempt-1" });
        expect(first.orders[0]!["path"]).not.toContain(second.address);
    });

    test("that cannot be completed end with an incomplete response", async () => {
        await startWithEngines();
        fixture.servers.forEach(server => {
            server.behavior = "break-stream";
        });
        const response = await fixture.send("POST", "/report-text/1", headers, "prompt");
        expect(response.complete).toBe(false);
        expect(completeStream.startsWith(response.body)).toBe(true);
    });

    test("that break off before their first event are answered with an error, not with a closed connection", async () => {
        await startWithEngines();
        fixture.servers.forEach(server => {
            server.behavior = "break-after-head";
        });
        const response = await fixture.send("POST", "/report-text/1", headers, "prompt");
        expect(response).toMatchObject({ status: 502, complete: true });
        expect(response.headers["x-replica-seal"]).toBeUndefined();
    });

    test("carry the head of the server that sent their first event", async () => {
        await startWithEngines();
        await fixture.send("POST", "/report-text/1", headers, "prompt");
        const broken = fixture.servers.find(({ received }) => received.length > 0)!;
        broken.behavior = "break-after-head";
        const response = await fixture.send("POST", "/report-text/1", headers, "prompt");
        expect(response).toMatchObject({ status: 200, complete: true, body: completeStream });
        expect(broken.received).toHaveLength(2);
        const other = fixture.servers.find(({ received }) => received.length === 1)!;
        expect(response.headers["x-replica-seal"]).toBe(`seal-${other.id}`);
    });

    test("are cancelled on the backend server when the caller disconnects", async () => {
        await startWithEngines();
        fixture.servers.forEach(server => {
            server.eventMilliseconds = 200;
        });
        const { request } = await import("node:http");
        const port = fixture.callerPort;
        const sent = request({
            host: "127.0.0.1",
            port,
            method: "POST",
            path: "/report-text/1",
            headers: {
                "Host": "yard.example",
                "Authorization": "Bearer key-1",
                "X-Attempt-Id": "a",
                "X-Deadline-Ms": "5000",
            },
        });
        sent.on("error", () => undefined);
        sent.on("response", () => sent.destroy());
        sent.end("prompt");
        await fixture.waitUntil(() => fixture.servers.some(({ abortedRequests }) => abortedRequests > 0));
    });
});

describe("placement", () => {
    test("engines without layers are ordered to load every layer, after which the router reports ready", async () => {
        const servers = ["a", "b"].map(id => new StandInBackendServer(id, "pool"));
        fixture = await GatewayFixture.start(servers, 1);
        expect(await fixture.isReady()).toBe(false);
        await fixture.waitUntil(() => servers.every(({ orders }) => orders.length > 0));
        servers.forEach(server => fixture.register(server, { seq: 2 }));
        await fixture.waitUntil(() => fixture.isReady());
        const held = servers.map(({ layers }) => layers!).sort((left, right) => left.from - right.from);
        expect(held[0]!.from).toBe(0);
        expect(held.at(-1)!.target).toBe(20);
        expect(servers.flatMap(({ orders }) => orders).every(order => order["expected"] === 0)).toBe(true);
    });
});
