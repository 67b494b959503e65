/** Errors of calls to plain services. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const serviceUnreachableDefinition = defineError({
    code: "service-unreachable",
    title: "No VM of the service could be reached",
    hint: "Nothing was run. Send the request again after the time given in Retry-After.",
    status: 503,
});

/** No connection to any VM of the service could be made, so that no byte of the request was written. */
export class ServiceUnreachableError extends PomelostallError {
    constructor(service: string, cause?: unknown) {
        super(serviceUnreachableDefinition, `No VM of service ${service} could be reached.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds: 1,
            cause,
        });
    }
}

const serviceCallFailedDefinition = defineError({
    code: "service-call-failed",
    title: "The call to the service broke off",
    hint: "Look the result up at the service before sending the request again: it may have run.",
    status: 502,
});

/** The call reached a VM of the service, but no whole response came back. */
export class ServiceCallFailedError extends PomelostallError {
    constructor(service: string, outcome: Outcome, cause?: unknown) {
        super(serviceCallFailedDefinition, `The call to service ${service} broke off.`, { outcome, cause });
    }
}
