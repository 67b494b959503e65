/** What is recorded of bookings that carry a key, and how routers reach the record. Everything here can go as JSON. */

/** A booking that is about to run. It is durable before the call is made. */
export interface BookingClaim {
    /** Hash of customer, service and Idempotency-Key. */
    readonly key: string;
    /** Made by the router that will make the call; the same claim may be submitted again. */
    readonly claimId: string;
    readonly requestId: string;
    /** Hash of method, path and body; a key with another body is refused. */
    readonly bodyHash: string;
    readonly customer: string;
    readonly service: string;
    readonly routerId: string;
    readonly routerIncarnation: number;
    /** Wall clock in milliseconds; used only to know when the key may be forgotten. */
    readonly claimedAt: number;
}

/** An answer that is given again to the same key. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    /** Base64; undefined when it was over the limit and only the status is kept. */
    readonly body: string | undefined;
}

export const BookingResult = {
    /** The service answered. */
    done: "done",
    /** The service did not run it, so that the key may be claimed again. */
    notRun: "not-run",
    /** It may have run. */
    unknown: "unknown",
    /** An operator looked it up and closed it. */
    settled: "settled",
} as const;
export type BookingResult = typeof BookingResult[keyof typeof BookingResult];

export interface BookingOutcome {
    readonly result: BookingResult;
    readonly answer?: RecordedResponse;
    /** Why an operator settled it. */
    readonly reason?: string;
}

/** A claim with what became of it; without an outcome it is running, or its router died. */
export interface BookingRecord {
    readonly claim: BookingClaim;
    readonly outcome: BookingOutcome | undefined;
}

export type LedgerOperation =
    | { readonly type: "claim"; readonly claim: BookingClaim; }
    | {
        readonly type: "outcome";
        readonly key: string;
        readonly claimId: string;
        readonly outcome: BookingOutcome;
    }
    | { readonly type: "lookup"; readonly key: string; };

export type LedgerResult =
    /** The claim is durable and no other will be made for its key. */
    | { readonly type: "claimed"; }
    /** Another claim stands. */
    | { readonly type: "existing"; readonly record: BookingRecord; }
    | { readonly type: "recorded"; }
    /** The outcome belongs to a claim that no longer stands. */
    | { readonly type: "ignored"; }
    | { readonly type: "found"; readonly record: BookingRecord | undefined; };

/** Carries operations to the router that usually writes a shard. */
export interface LedgerPeers {
    /** Rejects when the peer fails or does not answer in time; the operation may still take effect. */
    submit(routerId: string, operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult>;
}

/** The record of bookings. Every failure is a PlatformUnavailableError; the operation may still take effect. */
export interface BookingLedger {
    submit(operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult>;
}
