/** Errors of links to backend servers. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const connectionFailedDefinition = defineError({
    code: "connection-failed",
    title: "The link to a backend server failed",
    hint: "The router tries another backend server where the work may be repeated.",
});

export const ConnectionFailure = {
    /** No connection could be made, so that no byte was written. */
    refused: "refused",
    /** An open connection broke. */
    broken: "broken",
    /** An open connection made no progress within its bound. */
    silent: "silent",
    /** A frame of another attempt, or one that cannot be read, arrived. */
    protocol: "protocol",
} as const;
export type ConnectionFailure = typeof ConnectionFailure[keyof typeof ConnectionFailure];

/** A link that cannot be used any more. */
export class ConnectionFailedError extends PomelostallError {
    constructor(
        readonly backendServer: string,
        readonly failure: ConnectionFailure,
        /** Whether any byte of the request may have reached the backend server. */
        readonly bytesWritten: boolean,
        cause?: unknown,
    ) {
        super(connectionFailedDefinition, `The link to ${backendServer} failed: ${failure}.`, { cause });
    }
}
