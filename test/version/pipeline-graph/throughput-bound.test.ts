import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { PipelineGraph } from "../../../src/version/pipeline-graph/pipeline-graph.js";
import type { PipelineServer } from "../../../src/version/pipeline-graph/types.js";
import { createModel, createServer, fixedTopology } from "../../support/pipelines.js";

const unlimitedTopology = fixedTopology({}, { latencyMilliseconds: 0, bytesPerSecond: 1e15 });

/**
 * Computes the bound by duality: the minimum, over all sets of layers, of the total capacity of the servers that hold
 * any layer of the set, divided by the size of the set.
 */
function bruteForceBound(layerTotal: number, servers: readonly PipelineServer[]): number {
    let bound = Number.POSITIVE_INFINITY;
    for (let set = 1; set < 1 << layerTotal; set++) {
        const layers = Array.from({ length: layerTotal }, (_unused, layer) => layer).filter(layer =>
            set & (1 << layer)
        );
        const capacity = servers
            .filter(({ layers: held }) => layers.some(layer => held.first <= layer && layer <= held.last))
            .reduce((sum, { layerTokensPerSecond }) => sum + layerTokensPerSecond, 0);
        bound = Math.min(bound, capacity / layers.length);
    }
    return bound;
}

/**
 * Computes the minimum cut over all sets of nodes on the source's side. The first node is the source, the last the
 * sink.
 */
function bruteForceMinimumCut(nodeTotal: number, edges: readonly (readonly [number, number, number])[]): number {
    let smallest = Number.POSITIVE_INFINITY;
    for (let set = 0; set < 1 << (nodeTotal - 2); set++) {
        const isOnSourceSide = (node: number) =>
            node === 0 || (node !== nodeTotal - 1 && (set & (1 << (node - 1))) !== 0);
        const cut = edges.filter(([from, to]) => isOnSourceSide(from) && !isOnSourceSide(to)).reduce(
            (sum, edge) => sum + edge[2],
            0,
        );
        smallest = Math.min(smallest, cut);
    }
    return smallest;
}

/** Checks that each path covers all layers with groups that hold them, and that the rates add up to the bound. */
function expectPathsMatch(graph: PipelineGraph): void {
    const { paths, tokensPerSecond } = graph.bound;
    const total = paths.reduce((sum, path) => sum + path.tokensPerSecond, 0);
    expect(Math.abs(total - tokensPerSecond)).toBeLessThanOrEqual(0.02 * tokensPerSecond);
    const groupLoads = graph.groups.map(() => 0);
    for (const { steps, tokensPerSecond: rate } of paths) {
        let boundary = 0;
        for (const step of steps) {
            const { layers } = graph.groups[step.group]!;
            expect(step.firstBoundary).toBe(boundary);
            boundary = step.endBoundary;
            const [first, end] = [graph.boundaries[step.firstBoundary]!, graph.boundaries[boundary]!];
            expect(layers.first <= first && end <= layers.last + 1).toBe(true);
            groupLoads[step.group]! += rate * (end - first);
        }
        expect(boundary).toBe(graph.boundaries.length - 1);
    }
    graph.groups.forEach((group, index) => {
        expect(groupLoads[index]!).toBeLessThanOrEqual(group.layerTokensPerSecond * (1 + 1e-4));
    });
}

const capacityArbitrary = fastCheck.integer({ min: 1, max: 50 });

describe("throughput bound", () => {
    test("equals the brute-force bound for arbitrary overlapping ranges", () => {
        const layerTotal = 6;
        const range = fastCheck.tuple(
            fastCheck.integer({ min: 0, max: layerTotal - 1 }),
            fastCheck.integer({ min: 0, max: layerTotal - 1 }),
            capacityArbitrary,
            fastCheck.constantFrom("a", "b"),
        );
        fastCheck.assert(
            fastCheck.property(fastCheck.array(range, { minLength: 1, maxLength: 9 }), ranges => {
                const servers = ranges.map(([left, right, capacity, zone], index) =>
                    createServer(`s${index}`, zone, [Math.min(left, right), Math.max(left, right)], capacity)
                );
                const graph = new PipelineGraph(createModel(layerTotal), unlimitedTopology, servers);
                const expected = bruteForceBound(layerTotal, servers);
                expect(graph.bound.tokensPerSecond).toBeCloseTo(expected, 3);
                expectPathsMatch(graph);
                expect(graph.isComplete).toBe(expected > 0);
            }),
            { seed: 11, numRuns: 300 },
        );
    });

    test("equals the minimum cut if all ranges meet at one boundary and links limit the flow", () => {
        const zones = ["a", "b"];
        const capacities = fastCheck.array(capacityArbitrary, { minLength: 6, maxLength: 6 });
        fastCheck.assert(
            fastCheck.property(capacities, values => {
                const [firstA, firstB, lastA, lastB, linkAb, linkBa] = values as [
                    number,
                    number,
                    number,
                    number,
                    number,
                    number,
                ];
                const servers = [firstA, firstB, lastA, lastB].map((capacity, index) =>
                    createServer(`s${index}`, zones[index % 2]!, index < 2 ? [0, 0] : [1, 1], capacity)
                );
                const activationBytes = 1000;
                const topology = fixedTopology({
                    "a>b": { latencyMilliseconds: 1, bytesPerSecond: linkAb * activationBytes },
                    "b>a": { latencyMilliseconds: 1, bytesPerSecond: linkBa * activationBytes },
                }, { latencyMilliseconds: 0, bytesPerSecond: 1e15 });
                const graph = new PipelineGraph({ ...createModel(2), activationBytes }, topology, servers);
                const cut = bruteForceMinimumCut(6, [
                    [0, 1, firstA],
                    [0, 2, firstB],
                    [1, 3, 1e9],
                    [2, 4, 1e9],
                    [1, 4, linkAb],
                    [2, 3, linkBa],
                    [3, 5, lastA],
                    [4, 5, lastB],
                ]);
                expect(graph.bound.tokensPerSecond).toBeCloseTo(cut, 3);
            }),
            { seed: 12, numRuns: 300 },
        );
    });

    test("splits the load without exceeding the capacity of any server or link", () => {
        const servers = [
            createServer("s0", "a", [0, 3], 100),
            createServer("s1", "a", [2, 5], 60),
            createServer("s2", "b", [4, 7], 80),
            createServer("s3", "b", [0, 7], 40),
        ];
        const topology = fixedTopology({}, { latencyMilliseconds: 1, bytesPerSecond: 20_000 });
        const graph = new PipelineGraph({ ...createModel(8), activationBytes: 1000 }, topology, servers);
        const { tokensPerSecond, groupLayerTokensPerSecond, linkBytesPerSecond } = graph.bound;
        graph.groups.forEach((group, index) => {
            expect(groupLayerTokensPerSecond[index]!).toBeLessThanOrEqual(group.layerTokensPerSecond * (1 + 1e-6));
        });
        expect(Math.max(...linkBytesPerSecond)).toBeLessThanOrEqual(20_000 * (1 + 1e-6));
        const computed = groupLayerTokensPerSecond.reduce((sum, value) => sum + value, 0);
        expect(computed / 8).toBeCloseTo(tokensPerSecond, 3);
    });

    test("is 0 if no server holds one of the layers", () => {
        const graph = new PipelineGraph(createModel(4), unlimitedTopology, [createServer("s0", "a", [0, 1], 10)]);
        expect(graph.bound.tokensPerSecond).toBeCloseTo(0, 3);
        expect(graph.isComplete).toBe(false);
    });
});
