/** A caller's request in the form that the gateway forwards to backend servers. */
import type { MemoryLedger } from "../../common/memory-ledger.js";
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { TokenCounts } from "../../domain/gateway/dialect.js";

export interface GatewayRequest {
    /** Request ID that the caller sent; it identifies one attempt of the caller. */
    readonly id: string;
    readonly method: string;
    /** Path and query as received. */
    readonly target: string;
    /** Header names and values, alternating, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: GatewayRoute;
    /** The service that was drawn by the weights of the route's traffic split. */
    readonly service: string;
    /** Name of the customer whose API key the request carries. */
    readonly customer: string | undefined;
    /** 0, the most urgent, to 9. */
    readonly priority: number;
    /** Undefined if the caller did not state valid token counts. */
    readonly tokens: TokenCounts | undefined;
    /** The caller's estimate of the output tokens; undefined if it did not state a valid one. */
    readonly lengthHint: number | undefined;
    /** ID of the last event that the caller has, if it asks for the rest of a stream that it has begun to receive before. */
    readonly resumedAfter: number | undefined;
    /** IDs of the parts that the prompt shares with other requests, in the prompt's order. */
    readonly sharedPromptParts: readonly string[];
    readonly configurationVersion: number;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
    /** Monotonic time in milliseconds at which the caller's or the route's timeout expires, whichever is first. */
    readonly deadline: number;
    /** Aborted when the caller disconnects before the response is complete. */
    readonly callerGone: AbortSignal;
    /** Accounts for what is held for the request until its response is written; undefined if nothing is. */
    readonly memory?: MemoryLedger;
}
