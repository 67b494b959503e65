/** Errors of calls to plain services. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const serviceUnreachableDefinition = defineError({
    code: "service-unreachable",
    title: "No VM of the service could be reached",
    hint: "The request did not run. Send it again after the time given in Retry-After.",
    status: 503,
});

/** No connection to any VM of the service could be opened, so no byte of the request was written. */
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
    title: "The call to the service was interrupted",
    hint: "The request may have run. Look up its result in the service before sending it again.",
    status: 502,
});

/** The call reached a VM of the service, but no complete response was received. */
export class ServiceCallFailedError extends PomelostallError {
    constructor(service: string, outcome: Outcome, cause?: unknown) {
        super(
            serviceCallFailedDefinition,
            `The call to service ${service} was interrupted before its response was complete.`,
            { outcome, cause },
        );
    }
}
