/** What lives for one request of a caller. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Configuration, Customer } from "../../domain/configuration.js";

/** An authenticated request with the version that admitted it; it ends under that version. */
export interface CallerExchange {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly configuration: Configuration;
    readonly customer: Customer;
    /** On the monotonic clock, in milliseconds. */
    readonly startedAt: number;
    /** Aborted when the caller's connection closes before the response has ended. */
    readonly callerGone: AbortSignal;
}
