/** Describes backend servers: their static properties, their loaded layers and their reported load. */
import type { LayerRange } from "./layers.js";

/** The phases of inference that a backend server runs. */
export const ServingRole = {
    /** Prefill and decoding. */
    mixed: "mixed",
    /** Prefill only; its KV cache is transferred to servers that decode. */
    prefill: "prefill",
    /** Decoding only. */
    decode: "decode",
} as const;
export type ServingRole = typeof ServingRole[keyof typeof ServingRole];

/** A loaded range of a model's layers, with the adapters loaded for them. */
export interface Holding {
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
}

/** A class of backend servers, as defined in the configuration sheet. */
export interface BackendServerClass {
    readonly name: string;
    readonly acceleratorKind: string;
    readonly acceleratorCount: number;
    readonly memoryBytes: number;
    /** Throughput of the whole VM with a full batch: number of layers times tokens per second. */
    readonly layerTokensPerSecond: number;
    /** Whether servers of this class reject orders with an outdated fencing number. */
    readonly honoursFencing: boolean;
    /** Whether servers of this class authenticate the sender of an order. */
    readonly checksOrders: boolean;
}

/** A backend server VM; combines the platform's VM list with the configuration sheet. */
export interface BackendServerDescription {
    readonly id: string;
    /** Base URL with an IP address, such as http://10.0.0.7:9000. */
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly class: BackendServerClass;
    /** Increases with each restart of the VM. */
    readonly incarnation: number;
}

/** The load that a backend server last reported. Reports arrive with a delay. */
export interface LoadReport {
    readonly runningAttempts: number;
    readonly queuedAttempts: number;
    /** Prompt and output tokens that have yet to be computed. */
    readonly pendingTokens: number;
    /** Duration of one decoding step. */
    readonly stepMilliseconds: number;
    readonly freeCacheBytes: number;
}
