/** A caller's request as the gateway passes it on. */
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { TokenCounts } from "../../domain/gateway/dialect.js";

export interface GatewayRequest {
    /** The caller's ID of this attempt. */
    readonly id: string;
    readonly method: string;
    /** Path and query, unchanged. */
    readonly target: string;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: GatewayRoute;
    /** The service that the route's split gave the request to. */
    readonly service: string;
    /** Name of the customer whose key came with the request. */
    readonly customer: string | undefined;
    readonly priority: number;
    readonly tokens: TokenCounts | undefined;
    readonly configurationVersion: number;
    readonly receivedAt: number;
    /** Monotonic time at which the caller, or the route, no longer waits. */
    readonly deadline: number;
    /** Aborted once the caller has gone. */
    readonly callerGone: AbortSignal;
}
