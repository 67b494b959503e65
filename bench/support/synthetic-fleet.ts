/** Synthetic fleets for benchmarks of pipeline choices: replicas of several models on mixed accelerators. */
import { randomInteger, type RandomSource } from "../../src/common/random.js";
import type { BackendServerClass, LoadReport } from "../../src/domain/backend-server.js";
import type { Configuration } from "../../src/domain/configuration.js";
import type { ModelDescription } from "../../src/domain/model.js";
import type { LinkCost, Location, Topology } from "../../src/domain/topology.js";
import { BackendServerRecord } from "../../src/process/backend-servers/backend-server-record.js";

export const zones: readonly Location[] = [
    { region: "north", availabilityZone: "north-1" },
    { region: "north", availabilityZone: "north-2" },
    { region: "south", availabilityZone: "south-1" },
    { region: "south", availabilityZone: "south-2" },
];

const localLink: LinkCost = { latencyMilliseconds: 0.1, bytesPerSecond: 1.25e9 };
const regionLink: LinkCost = { latencyMilliseconds: 0.5, bytesPerSecond: 1.25e8 };
const otherRegionLink: LinkCost = { latencyMilliseconds: 10, bytesPerSecond: 1.25e7 };

/** Links within a zone, within a region and between regions; latency and bandwidth differ 100-fold. */
export const mixedTopology: Topology = {
    link: (from, to) =>
        from.region !== to.region
            ? otherRegionLink
            : from.availabilityZone !== to.availabilityZone
            ? regionLink
            : localLink,
};

/** Three kinds of accelerators; the fastest is four times as fast as the slowest. */
export const mixedClasses: readonly BackendServerClass[] = [20_000, 40_000, 80_000].map((rate, index) => ({
    name: `class-${index}`,
    acceleratorKind: `kind-${index}`,
    acceleratorCount: 1,
    memoryBytes: 24e9,
    layerTokensPerSecond: rate,
    honoursFencing: true,
    checksOrders: false,
}));

export function createModel(index: number, layerTotal = 64): ModelDescription {
    return {
        name: `model-${index}`,
        version: "1",
        layerTotal,
        layerBytes: 1e9,
        activationBytes: 16_384,
        cacheBytesPerTokenLayer: 4_096,
        adapters: [],
        maximumTokens: 4_096,
    };
}

/** A configuration with the given models and topology, without routes, customers or services. */
export function createConfiguration(models: readonly ModelDescription[], topology: Topology): Configuration {
    return {
        version: 1,
        pushId: "bench",
        parent: 0,
        author: "bench",
        acceptedAt: "2026-01-01T00:00:00Z",
        models: new Map(models.map(model => [model.name, model])),
        routes: new Map(),
        customers: new Map(),
        services: new Map(),
        backendServerClasses: new Map(mixedClasses.map(serverClass => [serverClass.name, serverClass])),
        topology,
        weightStore: { bytesPerSecond: 1e9 },
    };
}

/** Replicas distributed round-robin over zones and models; each has `stageTotal` servers with one stage each. */
export function createReplicaRecords(
    replicaTotal: number,
    stageTotal: number,
    models: readonly ModelDescription[],
    random: RandomSource,
): BackendServerRecord[] {
    return Array.from({ length: replicaTotal * stageTotal }, (_unused, index) => {
        const replica = Math.floor(index / stageTotal);
        const stage = index % stageTotal;
        const model = models[Math.floor(replica / zones.length) % models.length]!;
        const layersInStage = model.layerTotal / stageTotal;
        const record = new BackendServerRecord({
            id: `server-${index}`,
            address: `http://10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:9000`,
            ...zones[replica % zones.length]!,
            class: mixedClasses[randomInteger(random, mixedClasses.length)]!,
            incarnation: 1,
        });
        const first = stage * layersInStage;
        record.holdings = [{
            model: model.name,
            modelVersion: model.version,
            layers: { first, last: first + layersInStage - 1 },
            adapters: [],
        }];
        return record;
    });
}

export function createRandomLoad(random: RandomSource): LoadReport {
    const runningAttempts = randomInteger(random, 30);
    return {
        runningAttempts,
        queuedAttempts: randomInteger(random, 3),
        pendingTokens: runningAttempts * 200,
        stepMilliseconds: 2 + 10 * random.next(),
        freeCacheBytes: 1e9,
    };
}
