/** Backend server records, and a pipeline chooser that uses them, without connections. */
import { SilentLogger } from "../../src/common/logger.js";
import { SeededRandom } from "../../src/common/random.js";
import type { BackendServerClass } from "../../src/domain/backend-server.js";
import type { Configuration } from "../../src/domain/configuration.js";
import type { ModelDescription } from "../../src/domain/model.js";
import type { Topology } from "../../src/domain/topology.js";
import { BackendServerRecord } from "../../src/process/backend-servers/backend-server-record.js";
import { PrefixIndex } from "../../src/process/backend-servers/prefix-index.js";
import { CostPipelineChooser } from "../../src/request/pipeline-choice/cost-pipeline-chooser.js";
import type { PipelineRequest } from "../../src/request/pipeline-choice/types.js";
import { PipelineGraphs } from "../../src/version/pipeline-graph/pipeline-graphs.js";
import { createLocation } from "./pipelines.js";

export function createServerClass(layerTokensPerSecond = 10_000, name = "class"): BackendServerClass {
    return {
        name,
        acceleratorKind: "kind",
        acceleratorCount: 1,
        memoryBytes: 1e12,
        layerTokensPerSecond,
        honoursFencing: true,
        checksOrders: false,
    };
}

export function createRecord(
    id: string,
    availabilityZone: string,
    [first, last]: readonly [number, number],
    layerTokensPerSecond?: number,
): BackendServerRecord {
    const serverRecord = new BackendServerRecord({
        id,
        address: `http://127.0.0.1/${id}`,
        ...createLocation(availabilityZone),
        class: createServerClass(layerTokensPerSecond),
        incarnation: 1,
    });
    serverRecord.holdings = [{ model: "model", modelVersion: "1", layers: { first, last }, adapters: [] }];
    return serverRecord;
}

/** A configuration with the given models and topology, and one backend server class; the rest is empty. */
export function createConfiguration(models: readonly ModelDescription[], topology: Topology): Configuration {
    return {
        version: 1,
        pushId: "push",
        parent: 0,
        author: "author",
        acceptedAt: "2026-01-01T00:00:00Z",
        models: new Map(models.map(model => [model.name, model])),
        routes: new Map(),
        customers: new Map(),
        services: new Map(),
        backendServerClasses: new Map([["class", createServerClass()]]),
        topology,
        weightStore: { bytesPerSecond: 1e9 },
    };
}

/** Provides fixed records to a pipeline chooser. */
export class RecordSource {
    revision = 1;
    readonly prefixes = new PrefixIndex();

    constructor(readonly records: readonly BackendServerRecord[]) {}

    get totalLayerTokensPerSecond(): number {
        return this.records.reduce((sum, { description }) => sum + description.class.layerTokensPerSecond, 0);
    }

    candidates(): readonly BackendServerRecord[] {
        return this.records;
    }

    get(id: string): BackendServerRecord | undefined {
        return this.records.find(known => known.id === id);
    }
}

export function costChooser(
    source: RecordSource,
    model: ModelDescription,
    topology: Topology,
    seed = 1,
    availabilityZone = "a",
): CostPipelineChooser {
    return new CostPipelineChooser({
        location: createLocation(availabilityZone),
        graphs: new PipelineGraphs(createConfiguration([model], topology), source),
        servers: source,
        random: new SeededRandom(seed),
        logger: new SilentLogger(),
    });
}

export function pipelineRequest(model: ModelDescription, changes: Partial<PipelineRequest> = {}): PipelineRequest {
    return {
        requestId: "request",
        model,
        promptTokens: 256,
        expectedTokens: 100,
        generatedTokens: 0,
        prefixBlocks: [],
        excluded: new Set(),
        survivingStages: [],
        ...changes,
    };
}
