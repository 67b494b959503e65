/** Types of the HTTP interface for callers. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Configuration, Customer } from "../../domain/configuration.js";

/** An authenticated request and its configuration, which was active at its start and applies until it ends. */
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
