/** Errors of the platform's services. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const platformUnavailableDefinition = defineError({
    code: "platform-unavailable",
    title: "The platform's service cannot be used",
    hint: "Routing goes on with the configuration in force. Keyed bookings are refused until the service answers.",
    status: 503,
});

/** A call to the platform failed or timed out. */
export class PlatformUnavailableError extends PomelostallError {
    /** Whether a write may have taken effect although it failed. */
    readonly mayHaveTakenEffect: boolean;

    constructor(message: string, mayHaveTakenEffect: boolean, cause?: unknown) {
        super(platformUnavailableDefinition, message, { cause });
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }
}

const leaseLostDefinition = defineError({
    code: "lease-lost",
    title: "The lease has lapsed",
    hint: "Another router may hold it now. The router goes on serving and tries to take the lease again.",
});

/** A lease that lapsed or was revoked. */
export class LeaseLostError extends PomelostallError {
    constructor(leaseId: string) {
        super(leaseLostDefinition, `Lease ${leaseId} has lapsed.`);
    }
}

const valueTooLargeDefinition = defineError({
    code: "platform-value-too-large",
    title: "A value is over the platform's limit",
    hint: "Report it: pomelostall splits what it stores so that no value reaches the limit.",
});

/** A value that the key-value service refuses for its size. */
export class ValueTooLargeError extends PomelostallError {
    constructor(key: string, bytes: number) {
        super(valueTooLargeDefinition, `The value of ${key} has ${bytes} bytes, which is over the limit.`);
    }
}

const historyLostDefinition = defineError({
    code: "platform-history-lost",
    title: "The platform has forgotten older changes",
    hint: "The router reads everything again; nothing needs to be done.",
});

/** A read of changes from a revision that the platform no longer remembers. */
export class HistoryLostError extends PomelostallError {
    constructor(revision: number) {
        super(historyLostDefinition, `The platform no longer has the changes after revision ${revision}.`);
    }
}
