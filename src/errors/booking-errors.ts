/** Errors of bookings and of the ledger that records them. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const keyReusedDefinition = defineError({
    code: "idempotency-key-reused",
    title: "The idempotency key was used for another request",
    hint: "Use a new Idempotency-Key for each booking. Reuse a key only to repeat the same request unchanged.",
    status: 422,
});

/** The idempotency key was sent before with a different body, path or method. */
export class IdempotencyKeyReusedError extends PomelostallError {
    constructor(firstRequestId: string) {
        super(
            keyReusedDefinition,
            `The key belongs to request ${firstRequestId}, whose path, method or body differs.`,
            {
                outcome: Outcome.notRun,
            },
        );
    }
}

const bookingUnknownDefinition = defineError({
    code: "booking-unknown",
    title: "The booking's outcome is unknown",
    hint: "Look up the request ID in the service's own records. The booking is never run again under this key. An "
        + "operator can settle it with 'pomelostall bookings settle'.",
    status: 409,
});

/** The booking may have run and is not repeated. */
export class BookingUnknownError extends PomelostallError {
    constructor(
        /** The request that may have run. */
        readonly firstRequestId: string,
        /** Reason that the operator gave on settling the booking; undefined while it is not settled. */
        readonly settledReason?: string,
    ) {
        const settled = settledReason === undefined ? "" : ` An operator settled it: ${settledReason}`;
        super(bookingUnknownDefinition, `Request ${firstRequestId} may have run.${settled}`, {
            outcome: Outcome.unknown,
        });
    }
}

const bookingRunningDefinition = defineError({
    code: "booking-running",
    title: "The booking is still running",
    hint: "Send the same key and body again to get the booking's outcome.",
    status: 409,
});

/** The first request with the key had no outcome before the deadline of the repeated request. */
export class BookingRunningError extends PomelostallError {
    constructor(readonly firstRequestId: string) {
        super(bookingRunningDefinition, `Request ${firstRequestId} with the same key is still running.`, {
            outcome: Outcome.unknown,
            retryAfterSeconds: 1,
        });
    }
}

const bookingRefusedDefinition = defineError({
    code: "booking-refused",
    title: "The booking could not be recorded and was not run",
    hint: "The platform's key-value service is down or slow. Send the same key and body again later.",
    status: 503,
});

/** The booking's claim was not stored durably before the deadline. */
export class BookingRefusedError extends PomelostallError {
    constructor(cause: unknown) {
        super(bookingRefusedDefinition, "The booking could not be recorded before its deadline and was not run.", {
            outcome: Outcome.notRun,
            retryAfterSeconds: 1,
            cause,
        });
    }
}

const ledgerCorruptDefinition = defineError({
    code: "ledger-corrupt",
    title: "The booking ledger is damaged",
    hint: "Bookings of this shard are refused as not-run. Restore the platform's data; routers do not overwrite it.",
});

/** A value of a shard's log is missing or damaged. */
export class LedgerCorruptError extends PomelostallError {
    constructor(key: string, cause?: unknown) {
        super(ledgerCorruptDefinition, `The ledger value at key ${key} is missing or damaged.`, { cause });
    }
}

const ledgerFullDefinition = defineError({
    code: "ledger-full",
    title: "A shard of the booking ledger is full",
    hint: "Settle unresolved bookings, or wait until older keys expire.",
    status: 503,
});

/** The shard holds the maximum number of keys that a router keeps in memory. */
export class LedgerFullError extends PomelostallError {
    constructor(shard: number) {
        super(ledgerFullDefinition, `Shard ${shard} of the booking ledger is full.`, { outcome: Outcome.notRun });
    }
}

const bookingNotFoundDefinition = defineError({
    code: "booking-not-found",
    title: "No unresolved booking has this request ID",
    hint: "Run 'pomelostall bookings list' to see the unresolved bookings.",
    status: 404,
});

/** No unresolved booking has the given request ID. */
export class BookingNotFoundError extends PomelostallError {
    constructor(requestId: string) {
        super(bookingNotFoundDefinition, `No unresolved booking has the request ID ${requestId}.`);
    }
}
