import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import {
    defaultSubsetDepths,
    SubsetRings,
    type SubsetRouter,
    type SubsetServer,
} from "../../../src/process/backend-servers/subset.js";

const zones = [["r1", "a"], ["r1", "b"], ["r2", "c"], ["r2", "d"]] as const;
const modelCount = 6;
const stageCount = 8;
const layersPerStage = 10;

function routerFleet(total: number): SubsetRouter[] {
    return Array.from({ length: total }, (_unused, index) => {
        const [region, availabilityZone] = zones[index % zones.length]!;
        return { id: `router-${index}`, location: { region, availabilityZone } };
    });
}

/** Replicas with one server per stage, assigned to the zones and models in rotation. */
function replicaFleet(replicaCount: number, stages: number): SubsetServer[] {
    return Array.from({ length: replicaCount * stages }, (_unused, index) => {
        const replica = Math.floor(index / stages);
        const [region, availabilityZone] = zones[replica % zones.length]!;
        const first = index % stages * layersPerStage;
        return {
            id: `server-${index}`,
            location: { region, availabilityZone },
            holdings: [{
                model: `model-${Math.floor(replica / zones.length) % modelCount}`,
                modelVersion: "1",
                layers: { first, last: first + layersPerStage - 1 },
                adapters: [],
            }],
        };
    });
}

const noFailedServers: ReadonlySet<string> = new Set();

function selectSubsets(
    routers: readonly SubsetRouter[],
    servers: readonly SubsetServer[],
    failed: ReadonlySet<string> = noFailedServers,
): Map<string, Set<string>> {
    const rings = new SubsetRings(servers);
    const isUsable = (id: string) => !failed.has(id);
    const select = (self: SubsetRouter) => rings.select({ self, routers, depths: defaultSubsetDepths, isUsable });
    return new Map(routers.map(self => [self.id, select(self)]));
}

function connectionSpread(
    selected: ReadonlyMap<string, Set<string>>,
    servers: readonly SubsetServer[],
    failed: ReadonlySet<string> = noFailedServers,
) {
    const counts = new Map(servers.filter(server => !failed.has(server.id)).map(server => [server.id, 0]));
    for (const subset of selected.values()) {
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

/** Minimum number of selected servers over all stages of a model, in the given availability zone or in all. */
function minimumCoverage(
    selected: ReadonlySet<string>,
    servers: readonly SubsetServer[],
    model: string,
    availabilityZone?: string,
): number {
    const depth = Array.from({ length: stageCount }, () => 0);
    for (const server of servers) {
        const holding = server.holdings.find(held => held.model === model);
        const inZone = availabilityZone === undefined || server.location.availabilityZone === availabilityZone;
        if (holding !== undefined && inZone && selected.has(server.id)) {
            depth[holding.layers.first / layersPerStage]! += 1;
        }
    }
    return Math.min(...depth);
}

describe("subsets with 360 routers and 600 replicas of 8 servers", () => {
    const routers = routerFleet(360);
    const servers = replicaFleet(600, stageCount);
    const selected = selectSubsets(routers, servers);

    test("contain a small part of the fleet and distribute connections evenly over the servers", () => {
        const sizes = [...selected.values()].map(subset => subset.size);
        expect(Math.max(...sizes)).toBeLessThanOrEqual(servers.length * 0.07);
        expect(Math.min(...sizes)).toBe(Math.max(...sizes));
        const spread = connectionSpread(selected, servers);
        expect(spread.highest).toBeLessThanOrEqual(1.2);
        expect(spread.lowest).toBeGreaterThanOrEqual(0.8);
    });

    test("cover each layer of each model with alternatives in the own availability zone and once in each other", () => {
        for (const router of routers.slice(0, 12)) {
            for (let index = 0; index < modelCount; index++) {
                for (const [, zone] of zones) {
                    const expectedCoverage = zone === router.location.availabilityZone
                        ? defaultSubsetDepths.ownZone
                        : 1;
                    expect(minimumCoverage(selected.get(router.id)!, servers, `model-${index}`, zone)).toBe(
                        expectedCoverage,
                    );
                }
            }
        }
    });

    test("change only slightly when a router leaves or a server joins", () => {
        const withoutRouter = selectSubsets(routers.filter(router => router.id !== "router-100"), servers);
        expect(changedShare(selected, withoutRouter)).toBeLessThan(0.03);
        const addedServer: SubsetServer = { ...servers[8]!, id: "server-new" };
        const withServer = selectSubsets(routers, [...servers, addedServer]);
        expect(changedShare(selected, withServer)).toBeLessThan(0.003);
    });

    test("select servers of other availability zones when one fails, and keep connections evenly distributed", () => {
        const failed = new Set(
            servers.filter(server => server.location.availabilityZone === "a").map(server => server.id),
        );
        const after = selectSubsets(routers, servers, failed);
        const routerInFailedZone = routers.find(router => router.location.availabilityZone === "a")!;
        for (let index = 0; index < modelCount; index++) {
            expect(minimumCoverage(after.get(routerInFailedZone.id)!, servers, `model-${index}`))
                .toBeGreaterThanOrEqual(defaultSubsetDepths.ownZone);
        }
        const spread = connectionSpread(after, servers, failed);
        expect(spread.highest).toBeLessThanOrEqual(1.6);
        expect(spread.lowest).toBeGreaterThanOrEqual(0.6);
        const others = routers.filter(router => router.location.availabilityZone !== "a");
        const restrictToOthers = (all: ReadonlyMap<string, Set<string>>) =>
            new Map(others.map(({ id }) => [id, all.get(id)!]));
        expect(changedShare(restrictToOthers(selected), restrictToOthers(after))).toBe(0);
    });

    test("replace a failed server by at most one other server and change nothing else", () => {
        const after = selectSubsets(routers, servers, new Set(["server-40"]));
        for (const [router, subset] of after) {
            const lost = selected.get(router)!.has("server-40") ? 1 : 0;
            expect([...subset].filter(id => !selected.get(router)!.has(id)).length).toBeLessThanOrEqual(lost);
        }
    });
});

test("a subset covers every layer that a usable server holds, for arbitrary layer ranges", () => {
    const serverArbitrary = fastCheck.record({
        zone: fastCheck.integer({ min: 0, max: 3 }),
        first: fastCheck.integer({ min: 0, max: 9 }),
        length: fastCheck.integer({ min: 1, max: 6 }),
        usable: fastCheck.boolean(),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(serverArbitrary, { maxLength: 20 }), samples => {
            const servers = samples.map(({ zone, first, length }, index): SubsetServer => ({
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
            const usable = new Set(servers.filter((_server, index) => samples[index]!.usable).map(({ id }) => id));
            const covers = (layer: number) => ({ holdings }: SubsetServer) =>
                holdings[0]!.layers.first <= layer && layer <= holdings[0]!.layers.last;
            const failed = new Set(servers.filter(({ id }) => !usable.has(id)).map(({ id }) => id));
            for (const selected of selectSubsets(routers, servers, failed).values()) {
                for (let layer = 0; layer < 15; layer++) {
                    const holders = servers.filter(server => usable.has(server.id) && covers(layer)(server));
                    const selectedHolders = holders.filter(server => selected.has(server.id));
                    expect(selectedHolders.length).toBeGreaterThanOrEqual(Math.min(1, holders.length));
                }
                expect([...selected].every(id => usable.has(id))).toBe(true);
            }
        }),
        { seed: 21, numRuns: 200 },
    );
});
