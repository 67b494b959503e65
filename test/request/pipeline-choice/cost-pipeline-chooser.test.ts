import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { monotonicNow } from "../../../src/common/clock.js";
import { randomInteger, SeededRandom } from "../../../src/common/random.js";
import { NoPipelineError } from "../../../src/errors/index.js";
import type { BackendServerRecord } from "../../../src/process/backend-servers/backend-server-record.js";
import { ExactInFlightCounter } from "../../../src/process/backend-servers/exact-in-flight-counter.js";
import {
    LeastInFlightPipelineChooser,
    NearestFirstPipelineChooser,
    RoundRobinPipelineChooser,
} from "../../../src/request/pipeline-choice/baseline-choosers.js";
import type { PipelineChooser } from "../../../src/request/pipeline-choice/types.js";
import { PipelineGraphs } from "../../../src/version/pipeline-graph/pipeline-graphs.js";
import {
    costChooser,
    createConfiguration,
    createRecord,
    pipelineRequest,
    RecordSource,
} from "../../support/backend-servers.js";
import { createLocation, createModel, fixedTopology } from "../../support/pipelines.js";

const topology = fixedTopology({}, { latencyMilliseconds: 1, bytesPerSecond: 1e9 });
const farTopology = fixedTopology({}, { latencyMilliseconds: 50, bytesPerSecond: 1e7 });

function setLoad(target: BackendServerRecord, runningAttempts: number, stepMilliseconds: number): void {
    target.setLoad(
        {
            runningAttempts,
            queuedAttempts: 0,
            pendingTokens: runningAttempts * 100,
            stepMilliseconds,
            freeCacheBytes: 1,
        },
        monotonicNow(),
    );
}

describe("every chooser", () => {
    const layerTotal = 8;
    const serverArbitrary = fastCheck.record({
        first: fastCheck.integer({ min: 0, max: layerTotal - 1 }),
        length: fastCheck.integer({ min: 1, max: layerTotal }),
        zone: fastCheck.constantFrom("a", "b"),
        excluded: fastCheck.boolean(),
        leaving: fastCheck.boolean(),
        steps: fastCheck.integer({ min: 0, max: 50 }),
    });

    test("covers all layers with usable servers that hold them, or throws NoPipelineError", () => {
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(serverArbitrary, { maxLength: 10 }),
                fastCheck.integer(),
                (generated, seed) => {
                    const records = generated.map(({ first, length, zone, steps, leaving }, index) => {
                        const server = createRecord(`s${index}`, zone, [
                            first,
                            Math.min(layerTotal, first + length) - 1,
                        ]);
                        setLoad(server, steps, steps);
                        return leaving && server.markLeaving() ? server : server;
                    });
                    const excluded = new Set(
                        records.filter((_record, index) => generated[index]!.excluded).map(({ id }) => id),
                    );
                    const usable = records.filter(server => !server.leaving && !excluded.has(server.id));
                    const isHeld = (layer: number) =>
                        usable.some(({ holdings }) =>
                            holdings![0]!.layers.first <= layer && layer <= holdings![0]!.layers.last
                        );
                    const pipelineExists = Array.from({ length: layerTotal }, (_unused, layer) => layer).every(isHeld);
                    const source = new RecordSource(records);
                    const testModel = createModel(layerTotal);
                    const graphs = new PipelineGraphs(createConfiguration([testModel], topology), source);
                    const choosers: PipelineChooser[] = [
                        costChooser(source, testModel, topology, seed),
                        new RoundRobinPipelineChooser(graphs, source),
                        new LeastInFlightPipelineChooser(graphs, source),
                        new NearestFirstPipelineChooser(graphs, source, createLocation("a"), new SeededRandom(seed)),
                    ];
                    for (const chooser of choosers) {
                        const choose = () => chooser.choose(pipelineRequest(testModel, { excluded }));
                        if (!pipelineExists) {
                            expect(choose).toThrow(NoPipelineError);
                            continue;
                        }
                        for (const stage of choose().plan.stages) {
                            const server = usable.find(({ id }) => id === stage.backendServer)!;
                            expect(server).toBeDefined();
                            expect(server.holdings![0]!.layers.first).toBeLessThanOrEqual(stage.layers.first);
                            expect(server.holdings![0]!.layers.last).toBeGreaterThanOrEqual(stage.layers.last);
                        }
                    }
                },
            ),
            { seed: 41, numRuns: 150 },
        );
    });
});

describe("CostPipelineChooser", () => {
    test("prefers its own availability zone until queueing there costs more than the link to another", () => {
        const testModel = createModel(8);
        const records = ["a", "b"].map(zone => createRecord(`server-${zone}`, zone, [0, 7]));
        const source = new RecordSource(records);
        const chooser = costChooser(source, testModel, topology);
        const chooseServer = () => chooser.choose(pipelineRequest(testModel)).plan.stages[0]!.backendServer;
        expect(chooseServer()).toBe("server-a");
        setLoad(records[0]!, 20, 40);
        setLoad(records[1]!, 2, 5);
        expect(chooseServer()).toBe("server-b");
    });

    test("splits overlapping layer ranges so that the faster server runs more layers", () => {
        const testModel = createModel(12);
        const source = new RecordSource([
            createRecord("slow", "a", [0, 8], 1_000),
            createRecord("fast", "a", [4, 11], 10_000),
        ]);
        const { plan } = costChooser(source, testModel, topology).choose(pipelineRequest(testModel));
        expect(plan.stages.map(({ backendServer, layers }) => [backendServer, layers.first, layers.last])).toEqual([
            ["slow", 0, 3],
            ["fast", 4, 11],
        ]);
    });

    test("uses only servers that hold the adapter", () => {
        const testModel = createModel(4);
        const records = [createRecord("without", "a", [0, 3], 100_000), createRecord("with", "a", [0, 3])];
        records[1]!.holdings = [{ ...records[1]!.holdings![0]!, adapters: ["salt"] }];
        const chooser = costChooser(new RecordSource(records), testModel, topology);
        const choice = chooser.choose(pipelineRequest(testModel, { adapter: "salt" }));
        expect(choice.plan.uses("with")).toBe(true);
    });

    test("prefers a server with a cached prefix until it is much more loaded than its group", () => {
        const testModel = createModel(8);
        const records = Array.from({ length: 4 }, (_unused, index) => createRecord(`s${index}`, "a", [0, 7]));
        const source = new RecordSource(records);
        records.forEach(server => setLoad(server, 4, 2));
        const prefixBlocks = ["b0", "b1", "b2"];
        source.prefixes.apply("s2", { type: "cache", sequence: 1, added: prefixBlocks, removed: [] });
        const chooser = costChooser(source, testModel, topology);
        const request = pipelineRequest(testModel, { promptTokens: 2_000, expectedTokens: 10, prefixBlocks });
        const choice = chooser.choose(request);
        expect(choice.plan.uses("s2")).toBe(true);
        expect(choice.recomputedTokens).toBe(2_000 - 3 * 64);
        const ledger = new ExactInFlightCounter(id => source.get(id));
        let attemptCount = 0;
        while (chooser.choose(request).plan.uses("s2")) {
            ledger.begin(chooser.choose(request).plan, 2_010);
            attemptCount++;
            expect(attemptCount).toBeLessThan(10);
        }
        const mean = records.reduce((sum, server) => sum + 4 + server.ownAttempts, 0) / 4;
        expect(4 + records[2]!.ownAttempts).toBeLessThanOrEqual(1.25 * mean + 2);
    });

    test("discards a server's known prefix blocks after a gap in its cache events", () => {
        const source = new RecordSource([]);
        const apply = (server: string, sequence: number, added: string[]) =>
            source.prefixes.apply(server, { type: "cache", sequence, added, removed: [] });
        apply("s0", 1, ["b0", "b1"]);
        apply("s1", 7, ["b0"]);
        apply("s0", 3, ["b2"]);
        expect([...source.prefixes.match(["b0", "b1"])]).toEqual([["s1", 1]]);
        expect([...source.prefixes.match(["b0", "b1", "b2"])]).toEqual([["s0", 3], ["s1", 1]]);
        source.prefixes.apply("s1", { type: "cache", sequence: 8, added: [], removed: ["b0"] });
        expect(source.prefixes.match(["b0"]).size).toBe(0);
    });
});

describe("recovery from lost or leaving servers", () => {
    const testModel = createModel(8);
    const first = createRecord("first", "a", [0, 3]);
    const last = createRecord("last", "a", [4, 7]);
    const spares = [createRecord("spare-first", "a", [0, 3]), createRecord("spare-last", "a", [4, 7])];
    const surviving = (names: readonly string[], usable = true) =>
        [first, last].filter(({ id }) => names.includes(id)).map(({ id, holdings }) => ({
            backendServer: id,
            layers: holdings![0]!.layers,
            attemptId: "attempt",
            usable,
        }));
    const request = (names: readonly string[], excluded: readonly string[], usable = true) =>
        pipelineRequest(testModel, {
            promptTokens: 2_000,
            generatedTokens: 50,
            survivingStages: surviving(names, usable),
            excluded: new Set(excluded),
        });

    test("keeps the surviving stage and recomputes the prefix only up to the lost stage", () => {
        const chooser = costChooser(new RecordSource([first, last, ...spares]), testModel, topology);
        const choice = chooser.choose(request(["last"], ["first"]));
        expect(choice.plan.stages.map(stage => [stage.backendServer, stage.cache?.kind])).toEqual([
            ["spare-first", undefined],
            ["last", "kept"],
        ]);
        expect(choice.recomputedTokens).toBe(2_050);
    });

    test("imports KV cache from a server that still responds if that is cheaper than recomputing", () => {
        const source = new RecordSource([first, last, ...spares]);
        const leavingRequest = request(["first", "last"], ["first"], false);
        const choice = costChooser(source, testModel, topology).choose(leavingRequest);
        expect(choice.plan.stages[0]!.cache).toEqual({
            kind: "imported",
            attemptId: "attempt",
            address: first.description.address,
        });
        expect(choice.recomputedTokens).toBeLessThan(2_050);
    });

    test("does not import KV cache from an unreachable server", () => {
        const unreachable = createRecord("gone", "a", [0, 3]);
        unreachable.markUnreachable();
        const choice = costChooser(new RecordSource([unreachable, last, ...spares]), testModel, topology).choose(
            pipelineRequest(testModel, {
                promptTokens: 2_000,
                survivingStages: [{
                    backendServer: "gone",
                    layers: { first: 0, last: 3 },
                    attemptId: "attempt",
                    usable: false,
                }],
                excluded: new Set(["gone"]),
            }),
        );
        expect(choice.plan.stages.map(stage => stage.cache)).toEqual([undefined, undefined]);
    });

    test("recomputes the prefix if the link to the KV cache is too slow", () => {
        const far = createRecord("spare-far", "b", [0, 7], 100_000);
        const source = new RecordSource([first, far]);
        const choice = costChooser(source, testModel, farTopology).choose(pipelineRequest(testModel, {
            promptTokens: 2_000,
            survivingStages: [{
                backendServer: "first",
                layers: { first: 0, last: 3 },
                attemptId: "attempt",
                usable: false,
            }],
            excluded: new Set(["first"]),
        }));
        expect(choice.plan.stages.map(stage => stage.cache)).toEqual([undefined]);
        expect(choice.recomputedTokens).toBe(2_000);
    });
});

describe("saturated servers", () => {
    const testModel = createModel(8);
    const fast = createRecord("fast", "a", [0, 7], 30_000);
    const slow = createRecord("slow", "b", [0, 7], 10_000);
    const source = new RecordSource([fast, slow]);
    const slowShare = (excluded: readonly string[] = []) => {
        const chooser = costChooser(source, testModel, topology);
        const request = pipelineRequest(testModel, { excluded: new Set(excluded) });
        const total = 400;
        const choices = Array.from({ length: total }, () => chooser.choose(request));
        return choices.filter(choice => choice.plan.uses("slow")).length / total;
    };

    test("are used in proportion to the throughput bound's flow split, whichever is nearer or faster", () => {
        [fast, slow].forEach(server => setLoad(server, 500, 100));
        expect(slowShare()).toBeGreaterThan(0.2);
        expect(slowShare()).toBeLessThan(0.3);
    });

    test("are not used if the request excludes them", () => {
        [fast, slow].forEach(server => setLoad(server, 500, 100));
        expect(slowShare(["fast"])).toBe(1);
        expect(slowShare(["slow"])).toBe(0);
    });

    test("are chosen by expected completion time again once the load is low", () => {
        [fast, slow].forEach(server => setLoad(server, 0, 0));
        expect(slowShare()).toBe(0);
    });
});

describe("many routers with the same stale load reports", () => {
    const serverTotal = 24;
    const routerTotal = 360;

    /** Largest number of choices that fall on one server, relative to an even distribution over all servers. */
    function largestRelativeShare(createChooser: (source: RecordSource, seed: number) => PipelineChooser): number {
        const records = Array.from({ length: serverTotal }, (_unused, index) => createRecord(`s${index}`, "a", [0, 7]));
        records.forEach((server, index) => setLoad(server, index === 0 ? 0 : 10, index === 0 ? 1 : 10));
        const counts = new Map<string, number>();
        const random = new SeededRandom(51);
        for (let router = 0; router < routerTotal; router++) {
            const chooser = createChooser(new RecordSource(records), randomInteger(random, 2 ** 31));
            const { backendServer } = chooser.choose(pipelineRequest(createModel(8))).plan.stages[0]!;
            counts.set(backendServer, (counts.get(backendServer) ?? 0) + 1);
        }
        return Math.max(...counts.values()) / (routerTotal / serverTotal);
    }

    test("do not all choose the server that looks least loaded", () => {
        expect(largestRelativeShare((source, seed) => costChooser(source, createModel(8), topology, seed)))
            .toBeLessThanOrEqual(2.5);
    });
});
