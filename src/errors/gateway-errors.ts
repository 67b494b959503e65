/** Errors of the gateway, which forwards callers' requests to backend servers unchanged. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const configurationMissingDefinition = defineError({
    code: "configuration-missing",
    title: "No configuration is loaded yet",
    hint: "The router has just started. Send the request again.",
    status: 503,
});

/** The router has not read a configuration since it started. */
export class ConfigurationMissingError extends PomelostallError {
    constructor(retryAfterSeconds: number) {
        super(configurationMissingDefinition, "The router has not read a configuration yet.", {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const malformedConfigurationDefinition = defineError({
    code: "malformed-configuration",
    title: "A published configuration is malformed",
    hint: "The previous version stays in force. Publish a corrected version.",
});

/** A configuration in the platform's store does not match the expected schema. */
export class MalformedConfigurationError extends PomelostallError {
    constructor(reason: string, cause?: unknown) {
        super(malformedConfigurationDefinition, `The configuration is malformed: ${reason}.`, { cause });
    }
}

const noServerAvailableDefinition = defineError({
    code: "no-server-available",
    title: "No backend server can take the request",
    hint: "Send the request again after the time given in Retry-After.",
    status: 503,
});

/** No backend server started the request, so it has not run. */
export class NoServerAvailableError extends PomelostallError {
    constructor(service: string, reason: string, retryAfterSeconds: number) {
        super(noServerAvailableDefinition, `No backend server of ${service} can take the request: ${reason}.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const exchangeFailedDefinition = defineError({
    code: "exchange-failed",
    title: "No backend server completed its response",
    hint: "The request may have run. The decision log lines with its request ID name the backend servers tried.",
    status: 502,
});

/** No attempt succeeded, and at least one of them may have run the request. */
export class ExchangeFailedError extends PomelostallError {
    constructor(reason: string, cause?: unknown) {
        super(exchangeFailedDefinition, `No backend server completed its response: ${reason}.`, {
            outcome: Outcome.unknown,
            cause,
        });
    }
}

const routerStoppedDefinition = defineError({
    code: "router-stopped",
    title: "The router stopped before the response was complete",
    hint: "The request may have run. Raise the platform's shutdown grace period if requests regularly take longer.",
    status: 504,
});

/** The grace period of the router's shutdown ended before the response was complete. */
export class RouterStoppedError extends PomelostallError {
    constructor() {
        super(routerStoppedDefinition, "The router stopped before the response was complete.", {
            outcome: Outcome.unknown,
        });
    }
}

const invalidResponseDefinition = defineError({
    code: "invalid-answer",
    title: "A backend server sent an invalid response",
    hint: "The router discards the response. If one backend server causes this error often, take it out of service.",
});

/** A response without proof of its origin, for another request, or in an encoding that was not requested. */
export class InvalidResponseError extends PomelostallError {
    constructor(server: string, reason: string) {
        super(invalidResponseDefinition, `The response of ${server} was discarded: ${reason}.`);
    }
}

const promptPartBlockedDefinition = defineError({
    code: "prompt-part-blocked",
    title: "A part of the prompt has crashed backend servers",
    hint:
        "Leave the part out, or wait for the time given in Retry-After. docs/OPERATIONS.md says how to lift the block.",
    status: 503,
});

/** The prompt has a part under which several backend servers crashed; the request has not run. */
export class PromptPartBlockedError extends PomelostallError {
    constructor(part: string, retryAfterSeconds: number) {
        super(promptPartBlockedDefinition, `Backend servers crashed under requests with the prompt part ${part}.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const memoryShortageDefinition = defineError({
    code: "memory-shortage",
    title: "The router has no memory left for the message",
    hint:
        "Send the request again after the time given in Retry-After. docs/OPERATIONS.md says how to find who holds it.",
    status: 503,
});

/** What the process holds for others has reached its capacity, and this message is the largest and slowest of it. */
export class MemoryShortageError extends PomelostallError {
    constructor(retryAfterSeconds: number) {
        super(memoryShortageDefinition, "The router has no memory left for the message.", {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const tooManyRequestsDefinition = defineError({
    code: "too-many-requests-in-flight",
    title: "Too many requests are in flight",
    hint: "Wait for responses before sending further requests on the same connection.",
    status: 503,
});

/** The connection or the router has as many requests in flight as it may have; this one has not run. */
export class TooManyRequestsError extends PomelostallError {
    constructor(maximum: number, retryAfterSeconds: number) {
        super(tooManyRequestsDefinition, `More than ${maximum} requests are in flight.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}
