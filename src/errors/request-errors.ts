/** Errors of callers' HTTP requests. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const badRequestDefinition = defineError({
    code: "bad-request",
    title: "The request is malformed",
    hint: "Correct the field named in the message and send the request again.",
    status: 400,
});

/** The request cannot be parsed or does not match its schema. */
export class BadRequestError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(badRequestDefinition, message, { outcome: Outcome.notRun, cause });
    }
}

const unauthorizedDefinition = defineError({
    code: "unauthorized",
    title: "The customer's key is missing or unknown",
    hint: "Send the customer's key as 'Authorization: Bearer KEY'.",
    status: 401,
});

/** The request has no customer key or an unknown one. */
export class UnauthorizedError extends PomelostallError {
    constructor() {
        super(unauthorizedDefinition, "The request has no valid customer key.", { outcome: Outcome.notRun });
    }
}

const notFoundDefinition = defineError({
    code: "not-found",
    title: "The path, model or service does not exist",
    hint: "See docs/API.md for the paths that are served.",
    status: 404,
});

/** The requested path, model or service does not exist. */
export class NotFoundError extends PomelostallError {
    constructor(message: string) {
        super(notFoundDefinition, message, { outcome: Outcome.notRun });
    }
}

const bodyTooLargeDefinition = defineError({
    code: "body-too-large",
    title: "The request body is too large",
    hint: "Send a shorter prompt, or raise limits.maximumBodyBytes in the settings.",
    status: 413,
});

/** The request body exceeds the configured limit. */
export class BodyTooLargeError extends PomelostallError {
    constructor(maximumBytes: number) {
        super(bodyTooLargeDefinition, `The request body exceeds ${maximumBytes} bytes.`, { outcome: Outcome.notRun });
    }
}

const headersTooLargeDefinition = defineError({
    code: "headers-too-large",
    title: "The request headers are too large",
    hint: "Send fewer or shorter headers, or raise limits.max_header_bytes in the published configuration.",
    status: 431,
});

/** The request headers exceed the limit of the configuration in force. */
export class HeadersTooLargeError extends PomelostallError {
    constructor(maximumBytes: number) {
        super(headersTooLargeDefinition, `The request headers exceed ${maximumBytes} bytes.`, {
            outcome: Outcome.notRun,
        });
    }
}

const requestTimeoutDefinition = defineError({
    code: "request-timeout",
    title: "The request was not received in time",
    hint: "Send the headers and the body without long pauses.",
    status: 408,
});

/** The caller sent its request too slowly. */
export class RequestTimeoutError extends PomelostallError {
    constructor() {
        super(requestTimeoutDefinition, "The request was not received in time.", { outcome: Outcome.notRun });
    }
}

const limitExceededDefinition = defineError({
    code: "limit-exceeded",
    title: "The customer's limit is exceeded",
    hint: "Wait for the time given in Retry-After, or ask the operator to raise the customer's limit.",
    status: 429,
});

/** The customer's queue is full or its token limit is used up. */
export class LimitExceededError extends PomelostallError {
    constructor(customer: string, retryAfterSeconds: number) {
        super(limitExceededDefinition, `Customer ${customer} has a full queue or has used up its token limit.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const deadlineUnreachableDefinition = defineError({
    code: "deadline-unreachable",
    title: "The deadline cannot be met",
    hint: "Send the request again after the time given in Retry-After, or with a longer deadline.",
    status: 503,
});

/** The expected queueing and run time exceed the time to the deadline; the request was refused before it started. */
export class DeadlineUnreachableError extends PomelostallError {
    constructor(retryAfterSeconds: number) {
        super(deadlineUnreachableDefinition, "The request cannot be completed before its deadline.", {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const noPipelineDefinition = defineError({
    code: "no-pipeline",
    title: "No pipeline of usable backend servers covers every layer of the model",
    hint: "See 'pomelostall status' for the backend servers in use and 'pomelostall placement show' for their layers.",
    status: 503,
});

/** The usable backend servers do not cover the model's layers. */
export class NoPipelineError extends PomelostallError {
    constructor(model: string, outcome: Outcome = Outcome.notRun) {
        super(noPipelineDefinition, `No usable pipeline covers every layer of model ${model}.`, {
            outcome,
            retryAfterSeconds: 1,
        });
    }
}

const routerDrainingDefinition = defineError({
    code: "router-draining",
    title: "This router is shutting down",
    hint: "Send the request again; the load balancer selects another router.",
    status: 503,
});

/** The router accepts no new requests because it is shutting down. */
export class RouterDrainingError extends PomelostallError {
    constructor(retryAfterSeconds = 1) {
        super(routerDrainingDefinition, "This router is shutting down.", {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const answerFailedDefinition = defineError({
    code: "answer-failed",
    title: "The answer could not be completed",
    hint: "Send the request again. The message names the last failure.",
    status: 502,
});

/** The limit of failed attempts was reached, or the answer's event stream completed without an end event. */
export class AnswerFailedError extends PomelostallError {
    constructor(message: string, outcome: Outcome, cause?: unknown) {
        super(answerFailedDefinition, message, { outcome, cause });
    }
}

const deadlineExceededDefinition = defineError({
    code: "deadline-exceeded",
    title: "The deadline passed",
    hint: "Send the request with a higher X-Request-Timeout-Ms.",
    status: 504,
});

/** The caller's deadline passed before the response was complete. */
export class DeadlineExceededError extends PomelostallError {
    constructor(outcome: Outcome) {
        super(deadlineExceededDefinition, "The request's deadline passed before the response was complete.", {
            outcome,
        });
    }
}

const callerGoneDefinition = defineError({
    code: "caller-gone",
    title: "The caller disconnected before its response was complete",
    hint: "The request was cancelled; its outcome says whether it may have run. Send it again if it is still needed.",
    status: 499,
});

/** The caller closed its connection, so that nobody waits for the response. */
export class CallerGoneError extends PomelostallError {
    constructor(outcome: Outcome, cause?: unknown) {
        super(callerGoneDefinition, "The caller disconnected before its response was complete.", { outcome, cause });
    }
}
