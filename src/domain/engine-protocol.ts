/**
 * The messages between a router and a model engine: JSON over HTTP, and newline-delimited JSON for streams.
 * docs/BACKEND-SERVERS.md describes the protocol in full.
 *
 * POST   /v1/attempts                starts an attempt on the first stage; the response streams EngineFrame lines
 * POST   /v1/attempts/{id}/cancel    cancels the attempt on every stage
 * POST   /v1/stages                  between backend servers: sends activations to the next stage
 * GET    /v1/events                  streams BackendServerEvent lines: load, cache events, draining, holdings
 * GET    /v1/holdings                returns a HoldingsReport
 * POST   /v1/orders                  takes a PlacementOrder, returns an OrderReply
 * POST   /v1/cache/export            between backend servers: transfers the KV cache of an attempt's layers
 */
import type { Holding, LoadReport, ServingRole } from "./backend-server.js";
import type { LayerRange } from "./layers.js";
import type { Stage } from "./pipeline-plan.js";

export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

/** Starts one attempt to generate an answer. */
export interface AttemptRequest {
    readonly attemptId: string;
    readonly planId: string;
    readonly requestId: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly adapter?: string;
    readonly stages: readonly Stage[];
    readonly messages: readonly ChatMessage[];
    /** Tokens that the caller has already received; the attempt continues at the next position. */
    readonly generated: readonly string[];
    readonly maximumTokens: number;
    /** Lower numbers are scheduled first. */
    readonly priority: number;
    readonly timeoutMilliseconds: number;
}

/** The engine accepted the attempt and may have started to run it. */
export interface AcceptedFrame {
    readonly type: "accepted";
    readonly attemptId: string;
    readonly planId: string;
}

/** One generated token. */
export interface TokenFrame {
    readonly type: "token";
    readonly attemptId: string;
    readonly planId: string;
    /** Position in the whole answer, from 0. */
    readonly position: number;
    readonly text: string;
    /** The layer ranges that computed the token. */
    readonly layers: readonly LayerRange[];
}

/** The answer is complete. */
export interface EndFrame {
    readonly type: "end";
    readonly attemptId: string;
    readonly planId: string;
    /** Number of tokens in the whole answer, including those of earlier attempts. */
    readonly count: number;
    readonly finishReason: "stop" | "length";
    readonly promptTokens: number;
}

/** The attempt ended before the answer was complete. */
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
    /** The backend server that caused the failure, if known. */
    readonly backendServer?: string;
}

/** Sent while an attempt has no other frame to send. */
export interface HeartbeatFrame {
    readonly type: "heartbeat";
    readonly attemptId: string;
}

export type EngineFrame = AcceptedFrame | TokenFrame | EndFrame | FailureFrame | HeartbeatFrame;

/** The engine's latest load measurement. */
export interface LoadEvent {
    readonly type: "load";
    readonly load: LoadReport;
}

/** Prefix blocks that were added to or removed from the cache. A gap in the sequence numbers means lost events. */
export interface CacheEvent {
    readonly type: "cache";
    readonly sequence: number;
    readonly added: readonly string[];
    readonly removed: readonly string[];
}

/** The backend server accepts no new attempts. */
export interface DrainingEvent {
    readonly type: "draining";
}

/** The backend server's current holdings and role. */
export interface HoldingsEvent {
    readonly type: "holdings";
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
}

export interface HeartbeatEvent {
    readonly type: "heartbeat";
}

export type BackendServerEvent = LoadEvent | CacheEvent | DrainingEvent | HoldingsEvent | HeartbeatEvent;

/** A backend server's current holdings and role, read to confirm a load before the router relies on it. */
export interface HoldingsReport {
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
    readonly draining: boolean;
    /** The highest fencing number received; 0 for engines that ignore fencing. */
    readonly fencingNumber: number;
    readonly completedOrders: readonly string[];
}

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

/** An order from the router that holds the placement lease. Idempotent by its ID. */
export interface PlacementOrder {
    readonly orderId: string;
    readonly fencingNumber: number;
    /** The order must not take effect later than this time after it was sent. */
    readonly timeoutMilliseconds: number;
    readonly action: OrderAction;
}

export const OrderResult = {
    done: "done",
    /** The fencing number is lower than one received before. */
    stale: "stale",
    refused: "refused",
} as const;
export type OrderResult = typeof OrderResult[keyof typeof OrderResult];

export interface OrderReply {
    readonly orderId: string;
    readonly result: OrderResult;
    readonly message?: string;
}
