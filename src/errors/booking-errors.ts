/** Errors of bookings and of the ledger that keeps them. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const keyReusedDefinition = defineError({
    code: "idempotency-key-reused",
    title: "The key was used for another request",
    hint: "Use a new Idempotency-Key for each booking, and the same one only to repeat it unchanged.",
    status: 422,
});

/** The same key with another body, path or method. */
export class IdempotencyKeyReusedError extends PomelostallError {
    constructor(firstRequestId: string) {
        super(keyReusedDefinition, `The key belongs to request ${firstRequestId}, whose content is not the same.`, {
            outcome: Outcome.notRun,
        });
    }
}

const bookingUnknownDefinition = defineError({
    code: "booking-unknown",
    title: "It is not known whether the booking ran",
    hint:
        "Look the request ID up in the service's books. It is never run again under this key. Operators close it with "
        + "'pomelostall bookings settle'.",
    status: 409,
});

/** A booking that may have run, and will not be run again. */
export class BookingUnknownError extends PomelostallError {
    constructor(
        /** The request that may have run. */
        readonly firstRequestId: string,
        /** What an operator found, once the booking was settled. */
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
    hint: "Send the same key and body again to learn its outcome.",
    status: 409,
});

/** The first request with the key had no outcome before the deadline of this one. */
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
    title: "The booking could not be recorded, so it was not run",
    hint: "The platform's service is down or slow. Send the same key and body again later.",
    status: 503,
});

/** The claim could not be made durable in time. */
export class BookingRefusedError extends PomelostallError {
    constructor(cause: unknown) {
        super(bookingRefusedDefinition, "The booking could not be recorded in time and was not run.", {
            outcome: Outcome.notRun,
            retryAfterSeconds: 1,
            cause,
        });
    }
}

const ledgerCorruptDefinition = defineError({
    code: "ledger-corrupt",
    title: "The booking ledger cannot be read",
    hint: "Bookings of this shard are refused as not-run. Restore the platform's data; nothing is written over it.",
});

/** A part of a shard's log that is missing or damaged. */
export class LedgerCorruptError extends PomelostallError {
    constructor(key: string, cause?: unknown) {
        super(ledgerCorruptDefinition, `The ledger's value ${key} is missing or damaged.`, { cause });
    }
}

const ledgerFullDefinition = defineError({
    code: "ledger-full",
    title: "A shard of the booking ledger is full",
    hint: "Settle unresolved bookings, or wait until older keys are forgotten.",
    status: 503,
});

/** The shard holds as many keys as a router may keep in memory. */
export class LedgerFullError extends PomelostallError {
    constructor(shard: number) {
        super(ledgerFullDefinition, `Shard ${shard} of the booking ledger is full.`, { outcome: Outcome.notRun });
    }
}

const bookingNotFoundDefinition = defineError({
    code: "booking-not-found",
    title: "There is no such unresolved booking",
    hint: "See 'pomelostall bookings list'.",
    status: 404,
});

/** No booking without an outcome has the given request ID. */
export class BookingNotFoundError extends PomelostallError {
    constructor(requestId: string) {
        super(bookingNotFoundDefinition, `No unresolved booking has the request ID ${requestId}.`);
    }
}
