/** Random fleets of backend servers of three classes, with models and demand, for benchmarks and tests of placement. */
import { randomInteger, type RandomSource } from "../src/common/random.js";
import type { BackendServerClass } from "../src/domain/backend-server.js";
import type { ModelDescription } from "../src/domain/model.js";
import type { Topology } from "../src/domain/topology.js";
import type { PlacementDemand, PlacementInput, PlacementServer } from "../src/process/placement/types.js";

const gigabyte = 1e9;

function createServerClass(
    name: string,
    memoryGigabytes: number,
    layerTokensPerSecond: number,
    honoursFencing: boolean,
): BackendServerClass {
    return {
        name,
        acceleratorKind: name,
        acceleratorCount: 1,
        memoryBytes: memoryGigabytes * gigabyte,
        layerTokensPerSecond,
        honoursFencing,
        checksOrders: false,
    };
}

/** Three kinds of accelerators, with one accelerator per VM. */
export const fleetClasses = [
    createServerClass("large", 80, 40_000, true),
    createServerClass("medium", 48, 22_000, true),
    createServerClass("small", 24, 9_000, false),
] as const;

/** Number of layers of each model and gigabytes per layer. */
const modelSizes = [
    [32, 0.4],
    [32, 0.4],
    [40, 0.6],
    [48, 0.9],
    [64, 1.1],
    [80, 1.7],
] as const;

/** The first `total` of six models, in ascending order of the number of layers and of the size of a layer. */
export function fleetModels(total: number = modelSizes.length): ReadonlyMap<string, ModelDescription> {
    return new Map(
        modelSizes.slice(0, total).map(([layerTotal, layerGigabytes], index) => [`model-${index}`, {
            name: `model-${index}`,
            version: "1",
            layerTotal,
            layerBytes: layerGigabytes * gigabyte,
            activationBytes: 16_384,
            cacheBytesPerTokenLayer: 4_096,
            adapters: [],
            maximumTokens: 4_096,
        }]),
    );
}

/** Bandwidth from 10 GB/s within a zone and 1 GB/s within a region to 100 MB/s between regions, a factor of 100. */
export const fleetTopology: Topology = {
    link: (from, to) => {
        if (from.region !== to.region) {
            return { latencyMilliseconds: 30, bytesPerSecond: 1e8 };
        }
        return from.availabilityZone === to.availabilityZone
            ? { latencyMilliseconds: 0.05, bytesPerSecond: 1e10 }
            : { latencyMilliseconds: 0.5, bytesPerSecond: 1e9 };
    },
};

export interface FleetSize {
    readonly regions: number;
    readonly zonesPerRegion: number;
    readonly servers: number;
    readonly models?: number;
}

export function createFleetServer(
    id: number,
    region: string,
    availabilityZone: string,
    random: RandomSource,
): PlacementServer {
    return {
        description: {
            id: `server-${String(id).padStart(5, "0")}`,
            address: `http://127.0.0.1:${10_000 + id}`,
            region,
            availabilityZone,
            class: fleetClasses[randomInteger(random, fleetClasses.length)]!,
            incarnation: 1,
        },
        holdings: [],
        role: "mixed",
        draining: false,
    };
}

/** A fleet whose backend servers hold no layers, with random demand of five customers for each model. */
export function createFleetInput(random: RandomSource, size: FleetSize): PlacementInput {
    const zoneTotal = size.regions * size.zonesPerRegion;
    const servers = Array.from({ length: size.servers }, (_, index) => {
        const zone = index % zoneTotal;
        const region = `region-${Math.floor(zone / size.zonesPerRegion)}`;
        return createFleetServer(index, region, `${region}-zone-${zone % size.zonesPerRegion}`, random);
    });
    const models = fleetModels(size.models);
    const demand: PlacementDemand[] = [...models.keys()].flatMap(model =>
        Array.from({ length: 5 }, (_, index) => ({
            model,
            customer: `customer-${index}`,
            tokensPerSecond: 500 + randomInteger(random, 5_000),
        }))
    );
    return { configurationVersion: 1, servers, models, demand, topology: fleetTopology };
}

/** The input as it is once the assignments of a plan have been carried out. */
export function withHoldings(
    input: PlacementInput,
    assignments: ReadonlyMap<
        string,
        {
            readonly model: string;
            readonly modelVersion: string;
            readonly layers: { readonly first: number; readonly last: number; };
            readonly adapters: readonly string[];
        }
    >,
): PlacementInput {
    const servers = input.servers.map(server => {
        const assignment = assignments.get(server.description.id);
        return assignment === undefined ? server : {
            ...server,
            holdings: [{
                model: assignment.model,
                modelVersion: assignment.modelVersion,
                layers: assignment.layers,
                adapters: assignment.adapters,
            }],
        };
    });
    return { ...input, servers };
}
