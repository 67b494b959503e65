/**
 * The base of every failure that pomelostall reports, and the registry of all of them. Each class declares its
 * code, title and hint once through `defineError`; docs/ERRORS.md and the JSON error shape are made from that.
 */

/** What is known of a request's effect when it fails. */
export const Outcome = {
    /** No backend server started the request. */
    notRun: "not-run",
    /** The request ended without an answer and is known to have no further effect. */
    failed: "failed",
    /** The request may have run; it is never run again by pomelostall. */
    unknown: "unknown",
} as const;
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** The fixed part of an error class: what documentation and clients rely on. */
export interface ErrorDefinition {
    /** Stable, kebab-case code that clients may match on. */
    readonly code: string;
    readonly title: string;
    /** What the reader can do about it. */
    readonly hint: string;
    /** HTTP status towards callers, or undefined for errors that never reach one. */
    readonly status?: number;
}

export interface ErrorDetails {
    readonly outcome?: Outcome;
    readonly retryAfterSeconds?: number;
    readonly cause?: unknown;
}

const registry = new Map<string, ErrorDefinition>();

/** Adds a definition to the registry. A code can be defined once. */
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

/** A failure with a type, a stable code and a hint. */
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

/** Thrown at start-up when two error classes claim one code. */
class DuplicateErrorCodeError extends Error {
    constructor(code: string) {
        super(`The error code ${code} is defined twice.`);
    }
}
