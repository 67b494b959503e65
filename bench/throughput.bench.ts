/**
 * Throughput at an offered load of 1.2 times the throughput bound, on mixed accelerators and links whose bandwidth
 * differs 100-fold.
 */
import { fakeClock } from "./fake-clock.js";
// The fake clock must be installed before any other module is loaded.
import { SeededRandom } from "../src/common/random.js";
import type { ChatMessage } from "../src/domain/engine-protocol.js";
import { estimatePromptTokens } from "../src/domain/prefix-blocks.js";
import type { Location, Topology } from "../src/domain/topology.js";
import {
    LeastInFlightPipelineChooser,
    NearestFirstPipelineChooser,
    RoundRobinPipelineChooser,
} from "../src/request/pipeline-choice/baseline-choosers.js";
import type { PipelineChooser } from "../src/request/pipeline-choice/types.js";
import { PipelineGraph } from "../src/version/pipeline-graph/pipeline-graph.js";
import { atLeast, type Benchmark, type Figure } from "./figures.js";
import { EngineSimulation, type SimulatedRouter, type SimulatedServer } from "./support/engine-simulation.js";
import { createConfiguration, createModel, mixedClasses } from "./support/synthetic-fleet.js";

const offeredLoadFactor = 1.2;
const minimumThroughputShare = 0.9;
const answerTokens = 48;
const promptCharacters = 1_000;
const warmUpMilliseconds = 15_000;
const measuredMilliseconds = 30_000;
const tickMilliseconds = 5;
const settleMilliseconds = 2_000;
const layerTotal = 24;

const zoneNames = ["one", "two", "three"] as const;
const zones: readonly Location[] = zoneNames.map(availabilityZone => ({ region: "region", availabilityZone }));
const fastLink = { latencyMilliseconds: 0.2, bytesPerSecond: 1e8 };
/** Links to and from the third availability zone have a hundredth of the bandwidth. */
const slowLink = { latencyMilliseconds: 20, bytesPerSecond: 1e6 };

const topology: Topology = {
    link: (from, to) =>
        from.availabilityZone === to.availabilityZone
            ? { latencyMilliseconds: 0.05, bytesPerSecond: 1e9 }
            : from.availabilityZone === "three" || to.availabilityZone === "three"
            ? slowLink
            : fastLink,
};

/**
 * Servers of three classes with overlapping layer ranges. In the third zone, layers 12 to 23 have 0.6 times the compute
 * of layers 0 to 7.
 */
const servers: readonly SimulatedServer[] = ([
    [0, 2, 0, 11],
    [0, 1, 12, 23],
    [0, 0, 8, 19],
    [0, 1, 0, 15],
    [1, 2, 12, 23],
    [1, 0, 0, 11],
    [1, 1, 4, 15],
    [1, 0, 12, 23],
    [2, 2, 0, 11],
    [2, 1, 8, 23],
    [2, 0, 12, 23],
    [2, 0, 0, 7],
] as const).map(([zone, classIndex, first, last], index) => ({
    id: `server-${index}`,
    location: zones[zone]!,
    class: mixedClasses[classIndex]!,
    layers: { first, last },
}));

const model = createModel(0, layerTotal);

function throughputBound(): number {
    const graph = new PipelineGraph(
        model,
        topology,
        servers.map(server => ({
            id: server.id,
            address: server.id,
            location: server.location,
            layers: server.layers,
            adapters: [],
            role: "mixed",
            layerTokensPerSecond: server.class.layerTokensPerSecond,
        })),
    );
    return graph.bound.tokensPerSecond;
}

/** Counts tokens while `counting` is set. */
class TokenCounter {
    tokens = 0;
    counting = false;

    add(tokens: number): void {
        this.tokens += this.counting ? tokens : 0;
    }
}

/** Prompts start with their index, so that no two share a prefix block. */
function promptOf(index: number): readonly ChatMessage[] {
    const content = `${index} tokens=${answerTokens} `.padEnd(promptCharacters, "weigh the bales ");
    return [{ role: "user", content }];
}

/** Starts one attempt; the tokens of its prompt are counted together with its first token. */
function dispatch(router: SimulatedRouter, chooser: PipelineChooser, index: number, tokenCounter: TokenCounter): void {
    const messages = promptOf(index);
    const promptTokens = estimatePromptTokens(messages);
    const { plan } = chooser.choose({
        requestId: `request-${index}`,
        model,
        promptTokens,
        expectedTokens: answerTokens,
        generatedTokens: 0,
        prefixBlocks: [],
        excluded: new Set(),
        survivingStages: [],
    });
    const end = router.inFlightCounter.begin(plan, promptTokens + answerTokens);
    const attempt = router.connections.get(plan.stages[0]!.backendServer).startAttempt({
        attemptId: `attempt-${index}`,
        planId: plan.id,
        requestId: `request-${index}`,
        model: model.name,
        modelVersion: model.version,
        stages: plan.stages,
        messages,
        generated: [],
        maximumTokens: answerTokens,
        priority: 1,
        timeoutMilliseconds: 600_000,
    });
    attempt.frames.subscribe({
        next: frame => {
            if (frame.type === "token") {
                tokenCounter.add(frame.position === 0 ? promptTokens + 1 : 1);
            }
        },
        error: end,
        complete: end,
    });
}

/** Tokens processed per second under the offered load, prompt tokens included. */
async function measure(
    createChooser: (router: SimulatedRouter) => PipelineChooser,
    offeredTokensPerSecond: number,
): Promise<number> {
    const configuration = createConfiguration([model], topology);
    const latency = (from: Location, to: Location) => topology.link(from, to).latencyMilliseconds;
    const simulation = new EngineSimulation(configuration, model, topology, latency, servers);
    const routers = [];
    for (const [index, location] of zones.entries()) {
        const router = await simulation.addRouter(`router-${index}`, location, index + 1);
        routers.push({ router, chooser: createChooser(router) });
    }
    await fakeClock.tickAsync(settleMilliseconds);
    const random = new SeededRandom(7);
    const tokenCounter = new TokenCounter();
    const requestTokens = estimatePromptTokens(promptOf(0)) + answerTokens;
    const meanArrivalGapMilliseconds = (requestTokens * 1000) / offeredTokensPerSecond;
    let nextArrival = 0;
    let index = 0;
    for (let now = 0; now < warmUpMilliseconds + measuredMilliseconds; now += tickMilliseconds) {
        for (; nextArrival <= now; nextArrival -= Math.log(1 - random.next()) * meanArrivalGapMilliseconds) {
            const { router, chooser } = routers[index % routers.length]!;
            dispatch(router, chooser, index++, tokenCounter);
        }
        tokenCounter.counting = now >= warmUpMilliseconds;
        await fakeClock.tickAsync(tickMilliseconds);
    }
    await simulation.stop();
    fakeClock.reset();
    return (tokenCounter.tokens * 1000) / measuredMilliseconds;
}

async function run(): Promise<readonly Figure[]> {
    const bound = throughputBound();
    const offered = bound * offeredLoadFactor;
    const roundRobin = await measure(
        ({ graphs, registry }) => new RoundRobinPipelineChooser(graphs, registry),
        offered,
    );
    const leastInFlight = await measure(
        ({ graphs, registry }) => new LeastInFlightPipelineChooser(graphs, registry),
        offered,
    );
    const nearestFirst = await measure(
        ({ graphs, registry, location, random }) => new NearestFirstPipelineChooser(graphs, registry, location, random),
        offered,
    );
    const costBased = await measure(({ chooser }) => chooser, offered);
    const share = { bench: "throughput", unit: "of the bound" };
    return [
        { bench: "throughput", figure: "throughput bound", value: bound, unit: "tokens a second" },
        {
            ...share,
            figure: "tokens done at 1.2 times the bound's load",
            value: costBased / bound,
            bound: atLeast(minimumThroughputShare),
            baseline: roundRobin / bound,
        },
        { ...share, figure: "tokens done by the least-in-flight baseline", value: leastInFlight / bound },
        { ...share, figure: "tokens done by the nearest-first baseline", value: nearestFirst / bound },
    ];
}

export const benchmark: Benchmark = { name: "throughput", run };
