/** Tokens done at 1.2 times the throughput bound's load, over mixed accelerators and links that differ a hundredfold. */
import { pausedClock } from "./paused-clock.js";
// The clock must be paused before anything else is loaded.
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
import { EngineRig, type RigRouter, type RigServer } from "./support/engine-rig.js";
import { mixedClasses, syntheticConfiguration, syntheticModel } from "./support/synthetic-fleet.js";

const offeredShare = 1.2;
const targetShare = 0.9;
const answerTokens = 48;
const promptCharacters = 1_000;
const warmUpMilliseconds = 15_000;
const measuredMilliseconds = 30_000;
const tickMilliseconds = 5;
const settleMilliseconds = 2_000;
const layerTotal = 24;

const zoneNames = ["one", "two", "three"] as const;
const zones: readonly Location[] = zoneNames.map(availabilityZone => ({ region: "region", availabilityZone }));
const wide = { latencyMilliseconds: 0.2, bytesPerSecond: 1e8 };
/** The third availability zone is joined to the others by links of a hundredth of the width. */
const narrow = { latencyMilliseconds: 20, bytesPerSecond: 1e6 };

const topology: Topology = {
    link: (from, to) =>
        from.availabilityZone === to.availabilityZone
            ? { latencyMilliseconds: 0.05, bytesPerSecond: 1e9 }
            : from.availabilityZone === "three" || to.availabilityZone === "three"
            ? narrow
            : wide,
};

/** Servers of three kinds with overlapping ranges; in the third zone the later layers are scarce. */
const servers: readonly RigServer[] = ([
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
] as const).map(([zone, kind, first, last], index) => ({
    id: `server-${index}`,
    location: zones[zone]!,
    class: mixedClasses[kind]!,
    layers: { first, last },
}));

const model = syntheticModel(0, layerTotal);

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

/** Tokens that were done while it was counting. */
class Meter {
    tokens = 0;
    counting = false;

    add(tokens: number): void {
        this.tokens += this.counting ? tokens : 0;
    }
}

/** Each prompt differs from its first character on, so that no prefix is shared. */
function promptOf(index: number): readonly ChatMessage[] {
    const content = `${index} tokens=${answerTokens} `.padEnd(promptCharacters, "weigh the bales ");
    return [{ role: "user", content }];
}

/** Runs one attempt and counts its prompt at the first token. */
function dispatch(router: RigRouter, chooser: PipelineChooser, index: number, meter: Meter): void {
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
                meter.add(frame.position === 0 ? promptTokens + 1 : 1);
            }
        },
        error: end,
        complete: end,
    });
}

/** Tokens done in a second under the offered load. */
async function measure(
    createChooser: (router: RigRouter) => PipelineChooser,
    offeredTokensPerSecond: number,
): Promise<number> {
    const configuration = syntheticConfiguration([model], topology);
    const latency = (from: Location, to: Location) => topology.link(from, to).latencyMilliseconds;
    const rig = new EngineRig(configuration, model, topology, latency, servers);
    const routers = [];
    for (const [index, location] of zones.entries()) {
        const router = await rig.addRouter(`router-${index}`, location, index + 1);
        routers.push({ router, chooser: createChooser(router) });
    }
    await pausedClock.tickAsync(settleMilliseconds);
    const random = new SeededRandom(7);
    const meter = new Meter();
    const requestTokens = estimatePromptTokens(promptOf(0)) + answerTokens;
    const meanGap = (requestTokens * 1000) / offeredTokensPerSecond;
    let nextArrival = 0;
    let index = 0;
    for (let now = 0; now < warmUpMilliseconds + measuredMilliseconds; now += tickMilliseconds) {
        for (; nextArrival <= now; nextArrival -= Math.log(1 - random.next()) * meanGap) {
            const { router, chooser } = routers[index % routers.length]!;
            dispatch(router, chooser, index++, meter);
        }
        meter.counting = now >= warmUpMilliseconds;
        await pausedClock.tickAsync(tickMilliseconds);
    }
    await rig.stop();
    pausedClock.reset();
    return (meter.tokens * 1000) / measuredMilliseconds;
}

async function run(): Promise<readonly Figure[]> {
    const bound = throughputBound();
    const offered = bound * offeredShare;
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
    const cost = await measure(({ chooser }) => chooser, offered);
    const share = { bench: "throughput", unit: "of the bound" };
    return [
        { bench: "throughput", figure: "throughput bound", value: bound, unit: "tokens a second" },
        {
            ...share,
            figure: "tokens done at 1.2 times the bound's load",
            value: cost / bound,
            bound: atLeast(targetShare),
            baseline: roundRobin / bound,
        },
        { ...share, figure: "tokens done by the least-in-flight baseline", value: leastInFlight / bound },
        { ...share, figure: "tokens done by the nearest-first baseline", value: nearestFirst / bound },
    ];
}

export const benchmark: Benchmark = { name: "throughput", run };
