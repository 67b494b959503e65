/** What is known of a backend server: its fixed description, what it holds, and what it reports. */
import type { LayerRange } from "./layers.js";

/** The work a backend server takes on. */
export const ServingRole = {
    /** Runs prompts and generates tokens. */
    mixed: "mixed",
    /** Runs prompts only; its KV cache is handed to decoding servers. */
    prefill: "prefill",
    /** Generates tokens only. */
    decode: "decode",
} as const;
export type ServingRole = typeof ServingRole[keyof typeof ServingRole];

/** A range of one model's layers that is loaded. */
export interface Holding {
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
}

/** A class of backend servers, from the sheet. */
export interface BackendServerClass {
    readonly name: string;
    readonly acceleratorKind: string;
    readonly acceleratorCount: number;
    readonly memoryBytes: number;
    /** Layers times tokens that the whole VM computes in a second when its batch is full. */
    readonly layerTokensPerSecond: number;
    /** Whether it refuses an order with an old fencing number. */
    readonly honoursFencing: boolean;
    /** Whether it checks who sends it an order. */
    readonly checksOrders: boolean;
}

/** A backend server VM, from the platform's list and the sheet. */
export interface BackendServerDescription {
    readonly id: string;
    /** Base URL by IP number, such as http://10.0.0.7:9000. */
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly class: BackendServerClass;
    /** Rises each time the VM starts again. */
    readonly incarnation: number;
}

/** What a backend server last said of its load. It arrives late. */
export interface LoadReport {
    readonly runningAttempts: number;
    readonly queuedAttempts: number;
    /** Tokens of prompt and answer that are still to be computed. */
    readonly pendingTokens: number;
    /** Time of one decoding step, in milliseconds. */
    readonly stepMilliseconds: number;
    readonly freeCacheBytes: number;
}
