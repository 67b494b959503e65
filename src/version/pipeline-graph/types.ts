/** The layered graph of one model: boundaries between layers, and the backend servers that lead from one to the next. */
import type { ServingRole } from "../../domain/backend-server.js";
import type { LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

/** A backend server's holding of one model. */
export interface PipelineServer {
    readonly id: string;
    /** Base URL by IP number. */
    readonly address: string;
    readonly location: Location;
    /** Any sub-range of these may run. */
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
    readonly role: ServingRole;
    /** Layers times tokens that the whole VM computes in a second when its batch is full. */
    readonly layerTokensPerSecond: number;
}

/** Servers of one availability zone with one range of layers, which can stand in for each other. */
export interface ServerGroup {
    readonly layers: LayerRange;
    /** Index into the graph's locations. */
    readonly location: number;
    readonly members: readonly PipelineServer[];
    readonly layerTokensPerSecond: number;
}

/** A run of one path within one group. */
export interface FlowPathStep {
    /** Index into the graph's groups. */
    readonly group: number;
    /** Indexes into the graph's boundaries. */
    readonly firstBoundary: number;
    readonly endBoundary: number;
}

/** A part of the split that follows one way through the groups. */
export interface FlowPath {
    readonly tokensPerSecond: number;
    readonly steps: readonly FlowPathStep[];
}

/** The largest rate that the servers and links can carry, and how that rate is split. */
export interface ThroughputBound {
    /** Tokens a second through all layers. */
    readonly tokensPerSecond: number;
    /** For each group, the layer tokens a second that it computes in the split. */
    readonly groupLayerTokensPerSecond: readonly number[];
    /** For each pair of locations (from times the number of locations, plus to), bytes a second in the split; 0 within one. */
    readonly linkBytes: Float64Array;
    /** The split as paths; their rates add up to the bound. */
    readonly paths: readonly FlowPath[];
}
