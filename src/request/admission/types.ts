/** Admission of requests before any backend server sees them. */
import type { Customer, Route } from "../../domain/configuration.js";

/** Work that asks to be admitted. */
export interface AdmissionRequest {
    readonly requestId: string;
    readonly customer: Customer;
    readonly route: Route;
    /** Expected tokens of prompt and answer. */
    readonly tokens: number;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
    readonly signal?: AbortSignal;
}

/** Leave to run. */
export interface AdmissionTicket {
    readonly queuedMilliseconds: number;
    /** Returns the capacity and corrects the estimate by the tokens that were used. Idempotent. */
    release(usedTokens: number): void;
}

/**
 * Admits work in weighted fair order. Rejects with LimitExceededError or DeadlineUnreachableError, both `not-run`.
 */
export interface Admission {
    admit(request: AdmissionRequest): Promise<AdmissionTicket>;
}
