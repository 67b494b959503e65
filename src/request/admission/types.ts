/** Admission control of requests before they are dispatched to backend servers. */
import type { Customer, Route } from "../../domain/configuration.js";

/** A request for admission. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: Customer;
    readonly route: Route;
    /** Upper estimate of the request's tokens, prompt and answer together. */
    readonly tokens: number;
    /** Deadline on the monotonic clock, in milliseconds. */
    readonly deadline: number;
    /** Aborted when the caller disconnects. */
    readonly signal?: AbortSignal;
}

/** Permission to run an admitted request. Holds part of the token limit until it is released. */
export interface AdmissionTicket {
    readonly queuedMilliseconds: number;
    /** Frees the reserved tokens and corrects the estimate by the tokens actually used. Idempotent. */
    release(usedTokens: number): void;
}

/**
 * Admits requests. `admit` resolves once the request may run; it rejects with LimitExceededError,
 * DeadlineUnreachableError or CallerGoneError, all with the outcome `not-run`.
 */
export interface Admission {
    admit(request: AdmissionRequest): Promise<AdmissionTicket>;
}
