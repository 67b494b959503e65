/**
 * Types of the layered graph of a model. Its nodes are the layer boundaries in each location; its edges are the groups
 * of backend servers that compute the segments between boundaries, and the links between locations.
 */
import type { ServingRole } from "../../domain/backend-server.js";
import type { LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

/** One range of a model's layers that a backend server holds. A server that holds several ranges has one entry each. */
export interface PipelineServer {
    readonly id: string;
    /** Base URL with an IP address as its host. */
    readonly address: string;
    readonly location: Location;
    /** The layers held. The server can run any sub-range of them. */
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
    readonly role: ServingRole;
    /** Compute capacity of the whole VM with a full batch, in layers times tokens per second. */
    readonly layerTokensPerSecond: number;
}

/** Interchangeable servers: they are in the same availability zone and hold the same range of layers. */
export interface ServerGroup {
    readonly layers: LayerRange;
    /** Index into the graph's locations. */
    readonly location: number;
    readonly members: readonly PipelineServer[];
    /** Sum of the members' capacities, in layers times tokens per second. */
    readonly layerTokensPerSecond: number;
}

/** Consecutive segments of a path that one group computes. */
export interface FlowPathStep {
    /** Index into the graph's groups. */
    readonly group: number;
    /** Index into the graph's boundaries. */
    readonly firstBoundary: number;
    /** Index into the graph's boundaries; the step computes the layers before this boundary. */
    readonly endBoundary: number;
}

/** One path through the groups, with its share of the split load. */
export interface FlowPath {
    readonly tokensPerSecond: number;
    readonly steps: readonly FlowPathStep[];
}

/** The maximum throughput of the servers and links, with one split of the load that attains it. */
export interface ThroughputBound {
    /** Tokens per second through all layers. */
    readonly tokensPerSecond: number;
    /** Load of each group in the split, in layers times tokens per second. */
    readonly groupLayerTokensPerSecond: readonly number[];
    /** Bytes per second between two locations in the split, at index from * locations + to; 0 within a location. */
    readonly linkBytesPerSecond: Float64Array;
    /** The paths of the split. Their rates add up to approximately the bound. */
    readonly paths: readonly FlowPath[];
}
