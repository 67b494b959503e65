/**
 * The base class of all errors that pomelostall reports, and the registry of their definitions. Each class declares
 * its code, title and hint once with `defineError`; docs/ERRORS.md and the JSON error body are generated from the
 * definition.
 */

/** What is known about the effect of a failed request. */
export const Outcome = {
    /** No backend server started the request. */
    notRun: "not-run",
    /** The request ended without a complete response and is known to have no further effect. */
    failed: "failed",
    /** The request may have run; pomelostall does not run it again. */
    unknown: "unknown",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** The constant properties of an error class, on which documentation and clients rely. */
export interface ErrorDefinition {
    /** Stable kebab-case code that clients may match. */
    readonly code: string;
    readonly title: string;
    /** What the reader can do about the error. */
    readonly hint: string;
    /** HTTP status of the response to a caller or operator; undefined for errors that are never sent to one. */
    readonly status?: number;
}

export interface ErrorDetails {
    readonly outcome?: Outcome;
    readonly retryAfterSeconds?: number;
    readonly cause?: unknown;
}

const registry = new Map<string, ErrorDefinition>();

/** Adds a definition to the registry. Throws DuplicateErrorCodeError if the code is already defined. */
export function defineError(definition: ErrorDefinition): ErrorDefinition {
    if (registry.has(definition.code)) {
        throw new DuplicateErrorCodeError(definition.code);
    }
    registry.set(definition.code, definition);
    return definition;
}

/** All definitions, sorted by code. */
export function listErrorDefinitions(): readonly ErrorDefinition[] {
    return [...registry.values()].sort((left, right) => left.code.localeCompare(right.code));
}

/** An error with a stable code, a title and a hint. */
export abstract class PomelostallError extends Error {
    readonly code: string;
    readonly title: string;
    readonly hint: string;
    readonly status: number;
    readonly outcome: Outcome | undefined;
    readonly retryAfterSeconds: number | undefined;

    constructor(definition: ErrorDefinition, message: string, details: ErrorDetails = {}) {
        super(message, details.cause === undefined ? undefined : { cause: details.cause });
        this.name = new.target.name;
        this.code = definition.code;
        this.title = definition.title;
        this.hint = definition.hint;
        this.status = definition.status ?? 500;
        this.outcome = details.outcome;
        this.retryAfterSeconds = details.retryAfterSeconds;
    }
}

/** Thrown at start-up if two error classes use the same code. */
class DuplicateErrorCodeError extends Error {
    constructor(code: string) {
        super(`The error code ${code} is defined twice.`);
    }
}
