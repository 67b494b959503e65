/** Input and output of the layer planner. */
import type { LayerRange } from "../../../domain/layers.js";

/** A model engine as the planner sees it. */
export interface PlannedServer {
    readonly id: string;
    readonly availabilityZone: string;
    /** Most layers that leave enough memory for the KV cache of requests. */
    readonly preferredMaximumLayers: number;
    /** Most layers that the engine can hold at all; they leave memory for only a few requests. */
    readonly maximumLayers: number;
    /** Time to generate one token, relative to the engine profile. */
    readonly stepFactor: number;
    /** All its layers are held by other servers too, and requests avoid it. */
    readonly standby: boolean;
    /** Tokens of the requests that run on it, which are interrupted if it drops layers. */
    readonly runningTokens: number;
    /** The server cannot take a new order now. */
    readonly orderBlocked: boolean;
    /** Layers that it has been ordered to hold, or else holds. */
    readonly range: LayerRange | undefined;
}

/** Layer ranges to order, by server ID. Servers that keep their range are not included. */
export type RangeChanges = ReadonlyMap<string, LayerRange>;

export interface LayerPlanner {
    plan(servers: readonly PlannedServer[], layerCount: number): RangeChanges;
}
