/** Types of bookings: calls to plain services that must not be repeated. */
import type { PomelostallError } from "../../errors/index.js";

/** A call that must run at most once. */
export interface BookingRequest {
    readonly requestId: string;
    readonly customer: string;
    readonly service: string;
    /** The caller's Idempotency-Key. If undefined, the call is made once and nothing is recorded. */
    readonly idempotencyKey: string | undefined;
    readonly method: string;
    /** Path and query string. */
    readonly path: string;
    readonly body: Uint8Array;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
}

/** A response of a plain service that has been read completely. */
export interface BufferedServiceResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/** Result of one call to the plain service. */
export type BookingDispatchResult =
    | { readonly kind: "response"; readonly response: BufferedServiceResponse; }
    /** The booking did not run: no byte was written, or the service refused before it started. */
    | { readonly kind: "not-run"; readonly error: PomelostallError; }
    /** The booking may have run. */
    | { readonly kind: "unknown"; readonly error: PomelostallError; };

/** Makes exactly one call to the plain service. */
export type Dispatch = () => Promise<BookingDispatchResult>;

/** Response to a booking: the service's response to this request, or one that is replayed from the ledger. */
export interface BookingResponse {
    readonly answer: BufferedServiceResponse;
    /** ID of the earlier request with the same key whose recorded response this is; undefined if not replayed. */
    readonly replayedFrom: string | undefined;
    /** Whether the body was too long to record, so that the replayed response has only its status and content type. */
    readonly bodyOmitted: boolean;
}
