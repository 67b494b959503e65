/**
 * The messages between a router and a model engine: HTTP with JSON, and newline-delimited JSON for what streams.
 * docs/BACKEND-SERVERS.md describes the protocol in full.
 *
 * POST   /v1/attempts                starts an attempt at the first stage; the response streams EngineFrame lines
 * POST   /v1/attempts/{id}/cancel    cancels it at every stage
 * POST   /v1/stages                  between backend servers: activations for the next stage
 * GET    /v1/events                  streams BackendServerEvent lines: load, cache events, draining, holdings
 * GET    /v1/holdings                HoldingsReport
 * POST   /v1/orders                  PlacementOrder, answered by OrderReply
 * POST   /v1/cache/export            between backend servers: KV cache of an attempt's layers
 */
import type { Holding, LoadReport, ServingRole } from "./backend-server.js";
import type { LayerRange } from "./layers.js";
import type { Stage } from "./pipeline-plan.js";

/** One message of a chat. */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** Starts one attempt at an answer. */
export interface AttemptRequest {
    readonly attemptId: string;
    readonly planId: string;
    readonly requestId: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly adapter?: string;
    readonly stages: readonly Stage[];
    readonly messages: readonly ChatMessage[];
    /** Tokens that the caller already has; the attempt goes on at the next position. */
    readonly generated: readonly string[];
    readonly maximumTokens: number;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly timeoutMilliseconds: number;
}

/** The attempt was taken and may have started. */
export interface AcceptedFrame {
    readonly type: "accepted";
    readonly attemptId: string;
    readonly planId: string;
}

/** One token, with the layer ranges that computed it. */
export interface TokenFrame {
    readonly type: "token";
    readonly attemptId: string;
    readonly planId: string;
    /** Position in the whole answer, from 0. */
    readonly position: number;
    readonly text: string;
    readonly layers: readonly LayerRange[];
}

/** The answer is whole. */
export interface EndFrame {
    readonly type: "end";
    readonly attemptId: string;
    readonly planId: string;
    /** Tokens in the whole answer, those of earlier attempts included. */
    readonly count: number;
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
}

/** The attempt ended without a whole answer. */
export interface FailureFrame {
    readonly type: "failure";
    readonly attemptId: string;
    readonly planId: string;
    readonly reason:
        | "draining"
        | "overloaded"
        | "not-held"
        | "stage-unreachable"
        | "cancelled"
        | "timeout"
        | "internal";
    /** Whether any layer ran for this attempt. */
    readonly started: boolean;
    /** The backend server at fault, where known. */
    readonly backendServer?: string;
}

/** Sent while an attempt has nothing else to send. */
export interface HeartbeatFrame {
    readonly type: "heartbeat";
    readonly attemptId: string;
}

export type EngineFrame = AcceptedFrame | TokenFrame | EndFrame | FailureFrame | HeartbeatFrame;

/** Load, as the engine last measured it. */
export interface LoadEvent {
    readonly type: "load";
    readonly load: LoadReport;
}

/** Prefix blocks that entered or left the cache. A missing sequence number means that events were lost. */
export interface CacheEvent {
    readonly type: "cache";
    readonly sequence: number;
    readonly added: readonly string[];
    readonly removed: readonly string[];
}

/** The backend server takes no new attempts. */
export interface DrainingEvent {
    readonly type: "draining";
}

/** What the backend server holds now. */
export interface HoldingsEvent {
    readonly type: "holdings";
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
}

export interface EventsHeartbeat {
    readonly type: "heartbeat";
}

export type BackendServerEvent = LoadEvent | CacheEvent | DrainingEvent | HoldingsEvent | EventsHeartbeat;

/** What a backend server holds, read back before it is counted on. */
export interface HoldingsReport {
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
    readonly draining: boolean;
    /** The highest fencing number seen; 0 for engines that ignore it. */
    readonly fencingNumber: number;
    readonly completedOrders: readonly string[];
}

/** What an order asks for. */
export type OrderAction =
    | { readonly kind: "load"; readonly model: string; readonly modelVersion: string; readonly layers: LayerRange; }
    | { readonly kind: "unload"; readonly model: string; readonly modelVersion: string; readonly layers: LayerRange; }
    | {
        readonly kind: "load-adapter";
        readonly model: string;
        readonly modelVersion: string;
        readonly adapter: string;
    }
    | {
        readonly kind: "unload-adapter";
        readonly model: string;
        readonly modelVersion: string;
        readonly adapter: string;
    }
    | { readonly kind: "change-role"; readonly role: ServingRole; };

/** An order from the placement holder. Idempotent by its ID. */
export interface PlacementOrder {
    readonly orderId: string;
    readonly fencingNumber: number;
    /** The order must not take effect later than this after it was sent. */
    readonly timeoutMilliseconds: number;
    readonly action: OrderAction;
}

export const OrderResult = {
    done: "done",
    /** The fencing number is older than one already seen. */
    stale: "stale",
    refused: "refused",
} as const;
export type OrderResult = typeof OrderResult[keyof typeof OrderResult];

export interface OrderReply {
    readonly orderId: string;
    readonly result: OrderResult;
    readonly message?: string;
}
