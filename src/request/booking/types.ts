/** Bookings: calls to plain services that may not be repeated. */
import type { PomelostallError } from "../../errors/index.js";

/** A call that may run at most once. */
export interface BookingRequest {
    readonly requestId: string;
    readonly customer: string;
    readonly service: string;
    /** The caller's Idempotency-Key; without one the call is made once and nothing is recorded. */
    readonly idempotencyKey: string | undefined;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly body: Uint8Array;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
}

/** A whole answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** What one call to the plain service came to. */
export type DispatchResult =
    | { readonly kind: "response"; readonly answer: ServiceAnswer; }
    /** No byte was written, or the service refused before it started. */
    | { readonly kind: "not-run"; readonly error: PomelostallError; }
    /** It may have run. */
    | { readonly kind: "unknown"; readonly error: PomelostallError; };

/** Makes exactly one call to the plain service. */
export type Dispatch = () => Promise<DispatchResult>;

export interface BookingAnswer {
    readonly answer: ServiceAnswer;
    /** Set when the answer was recorded for an earlier request with the same key. */
    readonly replayedFrom: string | undefined;
    /** Whether the recorded answer was too long to keep, so that only its status is given. */
    readonly bodyOmitted: boolean;
}
