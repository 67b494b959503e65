import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import {
    defaultSubsetDepths,
    SubsetRings,
    type SubsetRouter,
    type SubsetServer,
} from "../../../src/process/backend-servers/subset.js";

const zones = [["r1", "a"], ["r1", "b"], ["r2", "c"], ["r2", "d"]] as const;
const modelTotal = 6;
const stageTotal = 8;
const layersInStage = 10;

function routerFleet(total: number): SubsetRouter[] {
    return Array.from({ length: total }, (_unused, index) => {
        const [region, availabilityZone] = zones[index % zones.length]!;
        return { id: `router-${index}`, location: { region, availabilityZone } };
    });
}

/** Replicas of the models in turn, each of one server for each stage. */
function replicaFleet(replicaTotal: number, stages: number): SubsetServer[] {
    return Array.from({ length: replicaTotal * stages }, (_unused, index) => {
        const replica = Math.floor(index / stages);
        const [region, availabilityZone] = zones[replica % zones.length]!;
        const first = index % stages * layersInStage;
        return {
            id: `server-${index}`,
            location: { region, availabilityZone },
            holdings: [{
                model: `model-${Math.floor(replica / zones.length) % modelTotal}`,
                modelVersion: "1",
                layers: { first, last: first + layersInStage - 1 },
                adapters: [],
            }],
        };
    });
}

const none: ReadonlySet<string> = new Set();

function subsets(
    routers: readonly SubsetRouter[],
    servers: readonly SubsetServer[],
    failed: ReadonlySet<string> = none,
): Map<string, Set<string>> {
    const circles = new SubsetRings(servers);
    const isUsable = (id: string) => !failed.has(id);
    const choose = (self: SubsetRouter) => circles.choose({ self, routers, depths: defaultSubsetDepths, isUsable });
    return new Map(routers.map(self => [self.id, choose(self)]));
}

function connectionSpread(
    chosen: ReadonlyMap<string, Set<string>>,
    servers: readonly SubsetServer[],
    failed: ReadonlySet<string> = none,
) {
    const counts = new Map(servers.filter(server => !failed.has(server.id)).map(server => [server.id, 0]));
    for (const subset of chosen.values()) {
        for (const id of subset) {
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
    }
    const values = [...counts.values()];
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    return { mean, highest: Math.max(...values) / mean, lowest: Math.min(...values) / mean };
}

function changedShare(before: ReadonlyMap<string, Set<string>>, after: ReadonlyMap<string, Set<string>>): number {
    let changed = 0;
    let total = 0;
    for (const [router, subset] of after) {
        const old = before.get(router);
        if (old !== undefined) {
            changed += [...subset].filter(id => !old.has(id)).length;
            total += subset.size;
        }
    }
    return changed / total;
}

/** The least number of chosen usable servers over all layers of a model in the given zone (or all). */
function shallowest(
    chosen: ReadonlySet<string>,
    servers: readonly SubsetServer[],
    model: string,
    availabilityZone?: string,
): number {
    const depth = Array.from({ length: stageTotal }, () => 0);
    for (const server of servers) {
        const holding = server.holdings.find(held => held.model === model);
        const inZone = availabilityZone === undefined || server.location.availabilityZone === availabilityZone;
        if (holding !== undefined && inZone && chosen.has(server.id)) {
            depth[holding.layers.first / layersInStage]! += 1;
        }
    }
    return Math.min(...depth);
}

describe("subsets at 360 routers and 600 replicas of 8 servers", () => {
    const routers = routerFleet(360);
    const servers = replicaFleet(600, stageTotal);
    const chosen = subsets(routers, servers);

    test("are a small part of the fleet, and the servers' connections are even", () => {
        const sizes = [...chosen.values()].map(subset => subset.size);
        expect(Math.max(...sizes)).toBeLessThanOrEqual(servers.length * 0.07);
        expect(Math.min(...sizes)).toBe(Math.max(...sizes));
        const spread = connectionSpread(chosen, servers);
        expect(spread.highest).toBeLessThanOrEqual(1.2);
        expect(spread.lowest).toBeGreaterThanOrEqual(0.8);
    });

    test("cover each layer of each model with alternatives at home, and in every other zone", () => {
        for (const router of routers.slice(0, 12)) {
            for (let index = 0; index < modelTotal; index++) {
                for (const [, zone] of zones) {
                    const wanted = zone === router.location.availabilityZone ? defaultSubsetDepths.ownZone : 1;
                    expect(shallowest(chosen.get(router.id)!, servers, `model-${index}`, zone)).toBe(wanted);
                }
            }
        }
    });

    test("change little when a router leaves or a server joins", () => {
        const withoutRouter = subsets(routers.filter(router => router.id !== "router-100"), servers);
        expect(changedShare(chosen, withoutRouter)).toBeLessThan(0.03);
        const joined: SubsetServer = { ...servers[8]!, id: "server-new" };
        const withServer = subsets(routers, [...servers, joined]);
        expect(changedShare(chosen, withServer)).toBeLessThan(0.003);
    });

    test("take alternatives elsewhere when an availability zone fails, and stay even", () => {
        const failed = new Set(
            servers.filter(server => server.location.availabilityZone === "a").map(server => server.id),
        );
        const after = subsets(routers, servers, failed);
        const fromFailedZone = routers.find(router => router.location.availabilityZone === "a")!;
        for (let index = 0; index < modelTotal; index++) {
            expect(shallowest(after.get(fromFailedZone.id)!, servers, `model-${index}`)).toBeGreaterThanOrEqual(
                defaultSubsetDepths.ownZone,
            );
        }
        const spread = connectionSpread(after, servers, failed);
        expect(spread.highest).toBeLessThanOrEqual(1.6);
        expect(spread.lowest).toBeGreaterThanOrEqual(0.6);
        const others = routers.filter(router => router.location.availabilityZone !== "a");
        const keep = (all: ReadonlyMap<string, Set<string>>) => new Map(others.map(({ id }) => [id, all.get(id)!]));
        expect(changedShare(keep(chosen), keep(after))).toBe(0);
    });

    test("take the next server on the circle when one fails, and leave all else", () => {
        const after = subsets(routers, servers, new Set(["server-40"]));
        for (const [router, subset] of after) {
            const lost = chosen.get(router)!.has("server-40") ? 1 : 0;
            expect([...subset].filter(id => !chosen.get(router)!.has(id)).length).toBeLessThanOrEqual(lost);
        }
    });
});

test("a subset covers every layer that any usable server holds, whatever the ranges", () => {
    const serverArbitrary = fastCheck.record({
        zone: fastCheck.integer({ min: 0, max: 3 }),
        first: fastCheck.integer({ min: 0, max: 9 }),
        length: fastCheck.integer({ min: 1, max: 6 }),
        usable: fastCheck.boolean(),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(serverArbitrary, { maxLength: 20 }), drawn => {
            const servers = drawn.map(({ zone, first, length }, index): SubsetServer => ({
                id: `s${index}`,
                location: { region: zones[zone]![0], availabilityZone: zones[zone]![1] },
                holdings: [{
                    model: "m",
                    modelVersion: "1",
                    layers: { first, last: first + length - 1 },
                    adapters: [],
                }],
            }));
            const routers = routerFleet(8);
            const usable = new Set(servers.filter((_server, index) => drawn[index]!.usable).map(({ id }) => id));
            const covers = (layer: number) => ({ holdings }: SubsetServer) =>
                holdings[0]!.layers.first <= layer && layer <= holdings[0]!.layers.last;
            const failed = new Set(servers.filter(({ id }) => !usable.has(id)).map(({ id }) => id));
            for (const chosen of subsets(routers, servers, failed).values()) {
                for (let layer = 0; layer < 15; layer++) {
                    const holders = servers.filter(server => usable.has(server.id) && covers(layer)(server));
                    const taken = holders.filter(server => chosen.has(server.id));
                    expect(taken.length).toBeGreaterThanOrEqual(Math.min(1, holders.length));
                }
                expect([...chosen].every(id => usable.has(id))).toBe(true);
            }
        }),
        { seed: 21, numRuns: 200 },
    );
});
