/** Errors of the platform's services. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const platformUnavailableDefinition = defineError({
    code: "platform-unavailable",
    title: "A service of the platform is unavailable",
    hint: "Routing continues with the configuration in force. Keyed bookings are refused until that service responds.",
    status: 503,
});

/** A call to the platform failed or timed out. */
export class PlatformUnavailableError extends PomelostallError {
    /** Whether a write may have taken effect although the call failed. */
    readonly mayHaveTakenEffect: boolean;

    constructor(message: string, mayHaveTakenEffect: boolean, cause?: unknown) {
        super(platformUnavailableDefinition, message, { cause });
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }
}

const leaseLostDefinition = defineError({
    code: "lease-lost",
    title: "The lease has expired or was revoked",
    hint: "Another router may hold the lease now. This router keeps serving and tries to acquire the lease again.",
});

/** The lease has expired or was revoked. */
export class LeaseLostError extends PomelostallError {
    constructor(leaseId: string) {
        super(leaseLostDefinition, `Lease ${leaseId} has expired or was revoked.`);
    }
}

const valueTooLargeDefinition = defineError({
    code: "platform-value-too-large",
    title: "A value exceeds the platform's size limit",
    hint: "This is a defect in pomelostall, which splits stored data so that no value reaches the limit. Report it.",
});

/** The key-value service rejected a value because of its size. */
export class ValueTooLargeError extends PomelostallError {
    constructor(key: string, bytes: number) {
        super(valueTooLargeDefinition, `The value of ${key} has ${bytes} bytes, which exceeds the platform's limit.`);
    }
}

const staleConnectionDefinition = defineError({
    code: "platform-connection-stale",
    title: "A connection to the platform went silent while new ones work",
    hint: "The router repeats the call on a new connection. No action is needed.",
});

/** A waiting call was ended because its connection is lost, although the platform answers on new connections. */
export class StaleConnectionError extends PomelostallError {
    constructor() {
        super(staleConnectionDefinition, "The connection went silent while the platform answers on new ones.");
    }
}

const outdatedAnswerDefinition = defineError({
    code: "platform-answer-outdated",
    title: "The platform's store answered from before it came back from a copy",
    hint: "The router does not use the answer. If it happens again and again, check the era that the store states.",
});

/** An answer of the store states an era before one that it has stated already. */
export class OutdatedStoreAnswerError extends PomelostallError {
    constructor(stated: number, current: number) {
        super(outdatedAnswerDefinition, `The store's answer is of era ${stated}, before the current one, ${current}.`);
    }
}

const historyLostDefinition = defineError({
    code: "platform-history-lost",
    title: "The platform no longer has the requested changes",
    hint: "The router reads the full state again. No action is needed.",
});

/** Changes were requested from a revision that the platform has already discarded. */
export class HistoryLostError extends PomelostallError {
    constructor(revision: number) {
        super(historyLostDefinition, `The platform no longer has the changes after revision ${revision}.`);
    }
}
