/** Input and output of the layer planner. */
import type { LayerRange } from "../../../domain/layers.js";

/** Capacity and state of one model engine, as input of the planner. */
export interface PlannedServer {
    readonly id: string;
    readonly availabilityZone: string;
    /** Maximum number of layers that leaves enough memory for the KV cache of requests. */
    readonly preferredMaximumLayers: number;
    /** Maximum number of layers that the engine can hold at all; leaves memory for only a few requests. */
    readonly maximumLayers: number;
    /** Duration of a decoding step, as a multiple of the engine profile's. */
    readonly stepFactor: number;
    /** Whether all layers of the server are held by other servers too; requests avoid such a server. */
    readonly standby: boolean;
    /** Tokens of the server's running requests, which are interrupted if the server drops layers. */
    readonly runningTokens: number;
    /** Whether the server cannot take a new order now. */
    readonly orderBlocked: boolean;
    /** Layers of the server's pending order, or else the layers that the server holds. */
    readonly range: LayerRange | undefined;
}

/** Layer ranges to order, by server ID. Servers that keep their range are not included. */
export type RangeChanges = ReadonlyMap<string, LayerRange>;

export interface LayerPlanner {
    plan(servers: readonly PlannedServer[], layerCount: number): RangeChanges;
}
