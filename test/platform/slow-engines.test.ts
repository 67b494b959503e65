/** Engines that state in their reports that they are slow, before a gateway as the platform runs it. */
import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

const headers = { "X-Model": "m", "X-Token-Counts": "700,150", "X-Prompt-Prefix": "a1:40,b2:660" };

let fixture: GatewayFixture;

const createEngine = (id: string, from: number, target: number) => {
    const server = new StandInBackendServer(id, "pool");
    server.layers = { from, target };
    return server;
};

/** IDs of the engines on the paths of some new streams. */
async function usedEngines(): Promise<ReadonlySet<string>> {
    const used = new Set<string>();
    for (let count = 0; count < 6; count++) {
        fixture.servers.forEach(({ received }) => received.splice(0));
        await fixture.send("POST", "/report-text/1", { ...headers, "X-Attempt-Id": `attempt-${count}` }, "prompt");
        const path = fixture.servers.flatMap(({ received }) => received)[0]!.headers["x-hop-count"] as string;
        fixture.servers.filter(({ address }) => path.includes(address)).forEach(({ id }) => used.add(id));
    }
    return used;
}

beforeEach(async () => {
    jest.useRealTimers();
    fixture = await GatewayFixture.start([
        createEngine("first-a", 0, 10),
        createEngine("first-b", 0, 10),
        createEngine("last-a", 10, 20),
        createEngine("last-b", 10, 20),
    ], 1);
    await fixture.waitUntil(() => fixture.isReady());
});

afterEach(() => fixture.stop());

describe("new streams avoid an engine", () => {
    test.each(["first-a", "first-b", "last-a", "last-b"])("%s that states that it is slow", async id => {
        const server = fixture.servers.find(candidate => candidate.id === id)!;
        server.pace = 12;
        const askedBefore = server.reportConnections;
        await fixture.waitUntil(() => server.reportConnections > askedBefore);
        // The statement takes effect once its response has arrived.
        await new Promise(resolve => setTimeout(resolve, 200));
        expect((await usedEngines()).has(id)).toBe(false);
    });

    test.each(["last-a", "last-b"])("%s that the placement leader's notice calls slow", async id => {
        await fixture.sendPlacementNotice([], new Map(), new Map([[id, { factor: 12, ageMilliseconds: 0 }]]));
        expect((await usedEngines()).has(id)).toBe(false);
    });
});
