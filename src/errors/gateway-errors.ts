/** Errors of the gateway, which passes callers' requests to backend servers unchanged. */
import { defineError, Outcome, PomelostallError } from "./pomelostall-error.js";

const configurationMissingDefinition = defineError({
    code: "configuration-missing",
    title: "No configuration is known yet",
    hint: "Send the request again; the router has just started.",
    status: 503,
});

/** The router has not yet read a configuration. */
export class ConfigurationMissingError extends PomelostallError {
    constructor(retryAfterSeconds: number) {
        super(configurationMissingDefinition, "No configuration is known yet.", {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const malformedConfigurationDefinition = defineError({
    code: "malformed-configuration",
    title: "A published configuration cannot be read",
    hint: "The version before it stays in force. Publish a corrected version.",
});

/** A configuration in the platform's store that has not the agreed form. */
export class MalformedConfigurationError extends PomelostallError {
    constructor(reason: string, cause?: unknown) {
        super(malformedConfigurationDefinition, `The configuration cannot be read: ${reason}.`, { cause });
    }
}

const noServerDefinition = defineError({
    code: "no-server-available",
    title: "No backend server can take the request",
    hint: "Send the request again after the time in Retry-After.",
    status: 503,
});

/** No backend server could be given the request; it has not run. */
export class NoServerAvailableError extends PomelostallError {
    constructor(service: string, reason: string, retryAfterSeconds: number) {
        super(noServerDefinition, `No backend server of ${service} can take the request: ${reason}.`, {
            outcome: Outcome.notRun,
            retryAfterSeconds,
        });
    }
}

const exchangeFailedDefinition = defineError({
    code: "exchange-failed",
    title: "A backend server did not finish its answer",
    hint: "The request may have run. Its decision lines in the log, by request ID, name the backend servers.",
    status: 502,
});

/** The last allowed attempt broke off; the request may have run. */
export class ExchangeFailedError extends PomelostallError {
    constructor(reason: string, cause?: unknown) {
        super(exchangeFailedDefinition, `No backend server finished the answer: ${reason}.`, {
            outcome: Outcome.unknown,
            cause,
        });
    }
}

const invalidAnswerDefinition = defineError({
    code: "invalid-answer",
    title: "A backend server sent an answer that cannot be trusted",
    hint: "The router discards it. If one backend server does this often, take it out of service.",
});

/** An answer without proof, for another request, or in an encoding that nobody asked for. */
export class InvalidAnswerError extends PomelostallError {
    constructor(server: string, reason: string) {
        super(invalidAnswerDefinition, `The answer of ${server} was discarded: ${reason}.`);
    }
}
