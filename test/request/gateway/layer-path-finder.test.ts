import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { SeededRandom } from "../../../src/common/random.js";
import type { LayerRange } from "../../../src/domain/layers.js";
import { CheapestLayerPathFinder, type PathServer } from "../../../src/request/gateway/layer-path-finder.js";
import { engineProfile, serverEntry } from "../../process/gateway/fixtures.js";

const size = { promptTokens: 700, outputTokens: 150 };
const span = { layers: { first: 0, last: 19 }, zone: "north", followsPart: false };
const finder = new CheapestLayerPathFinder(new SeededRandom(1));

function pathServer(
    id: string,
    layers: LayerRange,
    changes: Partial<PathServer> & { zone?: string; } = {},
): PathServer {
    return {
        entry: serverEntry(id, { layers, availabilityZone: changes.zone ?? "north" }),
        layers,
        standby: false,
        stepFactor: 10,
        prefillFactor: 10,
        requests: 0,
        tokens: 0,
        tokenCapacity: 60_000,
        ...changes,
    };
}

const findServerIds = (servers: readonly PathServer[]) =>
    finder.find(servers, engineProfile, size, span)?.parts.map(({ server }) => server.id);

describe("CheapestLayerPathFinder", () => {
    test("property: covers every layer once and in order, uses no server twice and only layers that it holds", () => {
        const arbitrary = fc.array(
            fc.record({
                first: fc.nat({ max: 19 }),
                count: fc.integer({ min: 1, max: 20 }),
                zone: fc.constantFrom("north", "south"),
                requests: fc.nat({ max: 50 }),
            }),
            { maxLength: 12 },
        );
        fc.assert(
            fc.property(arbitrary, drawn => {
                const servers = drawn.map(({ first, count, zone, requests }, index) =>
                    pathServer(`s${index}`, { first, last: Math.min(19, first + count - 1) }, { zone, requests })
                );
                const covered = Array.from(
                    { length: 20 },
                    (_value, layer) => servers.some(({ layers }) => layers.first <= layer && layer <= layers.last),
                );
                const path = finder.find(servers, engineProfile, size, span);
                expect(path !== undefined).toBe(covered.every(Boolean));
                let next = 0;
                for (const { server, layers } of path?.parts ?? []) {
                    expect(layers.first).toBe(next);
                    expect(server.layers!.first).toBeLessThanOrEqual(layers.first);
                    expect(server.layers!.last).toBeGreaterThanOrEqual(layers.last);
                    next = layers.last + 1;
                }
                expect(path === undefined ? 20 : next).toBe(20);
                const used = (path?.parts ?? []).map(({ server }) => server.id);
                expect(new Set(used).size).toBe(used.length);
            }),
            { seed: 20261204 },
        );
    });

    test("stays in the zone although servers of another zone are faster", () => {
        const servers = [
            pathServer("north-1", { first: 0, last: 9 }),
            pathServer("north-2", { first: 10, last: 19 }),
            pathServer("south-2", { first: 10, last: 19 }, { zone: "south", stepFactor: 5 }),
        ];
        expect(findServerIds(servers)).toEqual(["north-1", "north-2"]);
    });

    test("uses a standby server only when the memory of the other servers is full", () => {
        const serversWithMainTokens = (tokens: number) => [
            pathServer("main", { first: 0, last: 19 }, { tokens }),
            pathServer("standby", { first: 0, last: 19 }, { standby: true }),
        ];
        expect(findServerIds(serversWithMainTokens(30_000))).toEqual(["main"]);
        expect(findServerIds(serversWithMainTokens(60_000))).toEqual(["standby"]);
    });

    test("uses another zone only for the layers that no server of the own zone holds", () => {
        const servers = [
            pathServer("north-1", { first: 0, last: 9 }),
            pathServer("south-all", { first: 8, last: 19 }, { zone: "south", stepFactor: 20 }),
        ];
        expect(finder.find(servers, engineProfile, size, span)?.parts).toMatchObject([
            { layers: { first: 0, last: 9 } },
            { layers: { first: 10, last: 19 } },
        ]);
    });

    test("finds a path over servers whose memory has no limit, or that have begun to run requests beyond it", () => {
        const tokenCapacity = Infinity;
        expect(findServerIds([pathServer("all", { first: 0, last: 19 }, { tokenCapacity })])).toEqual(["all"]);
        expect(findServerIds([
            pathServer("first", { first: 0, last: 9 }, { tokenCapacity, tokens: 10_000 }),
            pathServer("last", { first: 10, last: 19 }, { tokens: 100_000 }),
        ])).toEqual(["first", "last"]);
    });

    test("finds a path for some of the layers that stays in the zone of the preceding part", () => {
        const servers = [
            pathServer("north", { first: 4, last: 12 }),
            pathServer("south", { first: 0, last: 19 }, { zone: "south", stepFactor: 1 }),
        ];
        const path = finder.find(servers, engineProfile, size, {
            layers: { first: 5, last: 9 },
            zone: "north",
            followsPart: true,
        });
        expect(path?.parts).toMatchObject([{ server: { id: "north" }, layers: { first: 5, last: 9 } }]);
    });
});
