/** Errors of connections to backend servers. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const connectionFailedDefinition = defineError({
    code: "connection-failed",
    title: "The connection to a backend server failed",
    hint: "The router tries another backend server if the work may be repeated.",
});

export const ConnectionFailure = {
    /** No connection could be opened, so no byte was written. */
    refused: "refused",
    /** An open connection broke. */
    broken: "broken",
    /** An open connection made no progress within its time limit. */
    silent: "silent",
    /** A frame arrived that belongs to another attempt or cannot be parsed. */
    protocol: "protocol",
    /** Closed or not begun because the caller has disconnected. */
    cancelled: "cancelled",
    /** The deadline passed before a connection was open. */
    expired: "expired",
    /** The runtime refused the request, for a character in it or for the address, so no connection was opened. */
    unsendable: "unsendable",
    /** This router has no memory for the response. */
    memory: "memory",
    /** This router failed while it handled the response. */
    internal: "internal",
} as const;
export type ConnectionFailure = typeof ConnectionFailure[keyof typeof ConnectionFailure];

const reasonsWithCause: ReadonlySet<ConnectionFailure> = new Set([
    ConnectionFailure.unsendable,
    ConnectionFailure.internal,
]);

/** A connection could not be opened or can no longer be used. */
export class ConnectionFailedError extends PomelostallError {
    constructor(
        readonly backendServer: string,
        readonly failure: ConnectionFailure,
        /** Whether any byte of the request may have reached the backend server. */
        readonly bytesWritten: boolean,
        cause?: unknown,
    ) {
        super(connectionFailedDefinition, `The connection to ${backendServer} failed: ${failure}.`, { cause });
    }

    /** The failure for the log; with its cause if only the cause says what is wrong. */
    get reason(): string {
        const detail = reasonsWithCause.has(this.failure) ? `: ${String(this.cause)}` : "";
        return `connection ${this.failure}${detail}`;
    }
}

const responseTooLargeDefinition = defineError({
    code: "response-too-large",
    title: "Another process sent more bytes than the router reads",
    hint: "The router has closed the connection. If it happens again, check the process that the log line names.",
});

/** A message from another process exceeds the limit of its kind. */
export class ResponseTooLargeError extends PomelostallError {
    constructor(maximumBytes: number) {
        super(responseTooLargeDefinition, `The message exceeds ${maximumBytes} bytes.`);
    }
}
