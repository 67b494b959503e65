/** Builds and caches the layered graphs of all models under one configuration version. */
import type { Configuration } from "../../domain/configuration.js";
import type { ModelDescription } from "../../domain/model.js";
import type { BackendServerRecord } from "../../process/backend-servers/backend-server-record.js";
import { PipelineGraph } from "./pipeline-graph.js";
import type { PipelineServer } from "./types.js";

/** Provides the backend servers from which graphs are built. Implemented by BackendServerRegistry. */
export interface BackendServerSource {
    /** Increases whenever the candidates or their holdings change. */
    readonly revision: number;
    /** Compute capacity of the whole fleet, in layers times tokens per second. */
    readonly totalLayerTokensPerSecond: number;
    candidates(): readonly BackendServerRecord[];
    get(id: string): BackendServerRecord | undefined;
}

export class PipelineGraphs {
    private readonly graphs = new Map<string, PipelineGraph>();
    private revision = -1;

    constructor(readonly configuration: Configuration, private readonly source: BackendServerSource) {}

    /** Returns the model version's graph for the current candidates and holdings. */
    get(model: ModelDescription): PipelineGraph {
        if (this.revision !== this.source.revision) {
            this.revision = this.source.revision;
            this.graphs.clear();
        }
        const key = `${model.name}@${model.version}`;
        let graph = this.graphs.get(key);
        if (graph === undefined) {
            graph = this.build(model);
            this.graphs.set(key, graph);
        }
        return graph;
    }

    private build(model: ModelDescription): PipelineGraph {
        const servers = this.source.candidates().flatMap(record => toPipelineServers(record, model));
        const capacity = servers.reduce((sum, server) => sum + server.layerTokensPerSecond, 0);
        const bandwidthShare = Math.min(1, capacity / Math.max(1, this.source.totalLayerTokensPerSecond));
        return new PipelineGraph(model, this.configuration.topology, servers, bandwidthShare);
    }
}

/** Returns one server of the graph for each valid holding of the model version. */
function toPipelineServers(
    { description, holdings, role }: BackendServerRecord,
    model: ModelDescription,
): PipelineServer[] {
    const { id, address, region, availabilityZone } = description;
    return (holdings ?? [])
        .filter(holding => holding.model === model.name && holding.modelVersion === model.version)
        .filter(({ layers }) => layers.first >= 0 && layers.first <= layers.last && layers.last < model.layerTotal)
        .map(({ layers, adapters }) => ({
            id,
            address,
            location: { region, availabilityZone },
            layers,
            adapters,
            role,
            layerTokensPerSecond: description.class.layerTokensPerSecond,
        }));
}
