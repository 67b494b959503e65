/** CPU time of one choice of a pipeline, including its log line, with 40 to 600 replicas. */
import { monotonicNow } from "../src/common/clock.js";
import { createLogger, LogFormat } from "../src/common/logger.js";
import { SeededRandom } from "../src/common/random.js";
import type { BackendServerRecord } from "../src/process/backend-servers/backend-server-record.js";
import { ExactInFlightCounter } from "../src/process/backend-servers/exact-in-flight-counter.js";
import { PrefixIndex } from "../src/process/backend-servers/prefix-index.js";
import { defaultSubsetDepths, SubsetRings } from "../src/process/backend-servers/subset.js";
import { LeastInFlightPipelineChooser } from "../src/request/pipeline-choice/baseline-choosers.js";
import { CostPipelineChooser } from "../src/request/pipeline-choice/cost-pipeline-chooser.js";
import type { PipelineChooser } from "../src/request/pipeline-choice/types.js";
import { type BackendServerSource, PipelineGraphs } from "../src/version/pipeline-graph/pipeline-graphs.js";
import { atMost, type Benchmark, type Figure, fitLine } from "./figures.js";
import {
    createConfiguration,
    createModel,
    createRandomLoad,
    createReplicaRecords,
    mixedTopology,
    zones,
} from "./support/synthetic-fleet.js";

const stageTotal = 8;
const modelTotal = 6;
const routerTotal = 360;
const warmUpChoices = 3_000;
const measuredChoices = 10_000;
const choicesInFlight = 200;
const replicaTotals = [40, 160, 600] as const;
const choiceBoundMicroseconds = 100;
const prefixBlockTotal = 12;

/** Blocks of a prompt prefix that all requests for a model share. */
function prefixBlocksOf(model: string): string[] {
    return Array.from({ length: prefixBlockTotal }, (_unused, block) => `${model}-${block}`);
}

/** The subset of the fleet's backend servers that one router connects to, with random loads and cached prefixes. */
function createFleet(replicaTotal: number) {
    const random = new SeededRandom(replicaTotal);
    const models = Array.from({ length: modelTotal }, (_unused, index) => createModel(index));
    const records = createReplicaRecords(replicaTotal, stageTotal, models, random);
    const routers = Array.from({ length: routerTotal }, (_unused, index) => ({
        id: `router-${index}`,
        location: zones[index % zones.length]!,
    }));
    const byId = new Map(records.map(record => [record.id, record]));
    const subsetRings = new SubsetRings(records.map(record => ({
        id: record.id,
        location: record.description,
        holdings: record.holdings ?? [],
    })));
    const chosen = subsetRings.select({
        self: routers[0]!,
        routers,
        depths: defaultSubsetDepths,
        isUsable: () => true,
    });
    const candidates = [...chosen].map(id => byId.get(id)!);
    const prefixes = new PrefixIndex();
    candidates.forEach((record, index) => {
        record.setLoad(createRandomLoad(random), monotonicNow());
        if (index % 3 === 0) {
            const added = prefixBlocksOf(record.holdings![0]!.model);
            prefixes.apply(record.id, { type: "cache", sequence: 1, added, removed: [] });
        }
    });
    const source: BackendServerSource & { prefixes: PrefixIndex; } = {
        revision: 1,
        totalLayerTokensPerSecond: records.reduce(
            (sum, { description }) => sum + layerTokensPerSecondOf(description),
            0,
        ),
        candidates: () => candidates,
        get: id => byId.get(id),
        prefixes,
    };
    return { models, source, random, routers };
}

function layerTokensPerSecondOf(description: BackendServerRecord["description"]): number {
    return description.class.layerTokensPerSecond;
}

/** Mean CPU time of one choice, in microseconds. */
function measure(fleet: ReturnType<typeof createFleet>, chooser: PipelineChooser): number {
    const inFlightCounter = new ExactInFlightCounter(fleet.source.get);
    const releases: (() => void)[] = [];
    const prefixBlocks = fleet.models.map(model => prefixBlocksOf(model.name));
    const choose = (iteration: number) => {
        const choice = chooser.choose({
            requestId: `request-${iteration}`,
            model: fleet.models[iteration % modelTotal]!,
            promptTokens: 900,
            expectedTokens: 200,
            generatedTokens: 0,
            prefixBlocks: prefixBlocks[iteration % modelTotal]!,
            excluded: new Set(),
            survivingStages: [],
        });
        releases.push(inFlightCounter.begin(choice.plan, 1_100));
        if (releases.length > choicesInFlight) {
            releases.shift()?.();
        }
    };
    for (let iteration = 0; iteration < warmUpChoices; iteration++) {
        choose(iteration);
    }
    const before = process.cpuUsage();
    for (let iteration = 0; iteration < measuredChoices; iteration++) {
        choose(iteration);
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / measuredChoices;
}

async function run(): Promise<readonly Figure[]> {
    const points: { x: number; y: number; }[] = [];
    const figures: Figure[] = [];
    for (const replicaTotal of replicaTotals) {
        const fleet = createFleet(replicaTotal);
        const graphs = new PipelineGraphs(createConfiguration(fleet.models, mixedTopology), fleet.source);
        const logger = createLogger(LogFormat.json, "info", "bench", () => undefined);
        const chooser = new CostPipelineChooser({
            location: zones[0]!,
            graphs,
            servers: fleet.source,
            random: fleet.random,
            logger,
        });
        const baseline = measure(fleet, new LeastInFlightPipelineChooser(graphs, fleet.source));
        const value = measure(fleet, chooser);
        points.push({ x: replicaTotal, y: value });
        const size = { value: fleet.source.candidates().length, unit: "backend servers" };
        figures.push(
            { bench: "decision", figure: `subset at ${replicaTotal} replicas`, ...size },
            {
                bench: "decision",
                figure: `processor time of one choice at ${replicaTotal} replicas`,
                value,
                unit: "microseconds",
                bound: atMost(choiceBoundMicroseconds),
                baseline,
            },
        );
    }
    const { slope } = fitLine(points);
    return [...figures, { bench: "decision", figure: "slope", value: slope, unit: "microseconds for each replica" }];
}

export const benchmark: Benchmark = { name: "decision", run };
