/** What the layer planner works on. */
import type { LayerRange } from "../../../domain/layers.js";

/** A model engine with what it holds or was last ordered to hold. */
export interface PlannedServer {
    readonly id: string;
    readonly availabilityZone: string;
    /** Layers that leave enough memory to requests. */
    readonly comfortableLayers: number;
    /** Layers that it can hold if it must. */
    readonly maximumLayers: number;
    /** Time of a token step, relative to other kinds. */
    readonly stepFactor: number;
    /** Others hold its layers too, and requests pass it over. */
    readonly standby: boolean;
    /** Tokens of the requests that pass through it; they are disturbed if it gives layers up. */
    readonly runningTokens: number;
    /** It carries out an order and takes no other. */
    readonly ordered: boolean;
    readonly range: LayerRange | undefined;
}

/** Ranges to order, by server ID. Servers that keep what they hold are not in it. */
export type RangeChanges = ReadonlyMap<string, LayerRange>;

export interface LayerPlanner {
    plan(servers: readonly PlannedServer[], layerCount: number): RangeChanges;
}
