/** JSON format of the error responses to callers, and functions that send JSON responses. */
import type { ServerResponse } from "node:http";
import { InternalError, Outcome, PomelostallError } from "../../errors/index.js";

/** Body of an error response. `message`, `type`, `code` and `param` follow OpenAI's format, which LLM clients expect. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: string;
        readonly param: string | null;
        /** What is known about whether the request ran or took effect. */
        readonly outcome: Outcome;
        readonly hint: string;
        readonly request_id: string;
    };
}

/** Wraps any error that is not a PomelostallError in an InternalError. */
export function toPomelostallError(error: unknown): PomelostallError {
    return error instanceof PomelostallError ? error : new InternalError("An unexpected error occurred.", error);
}

export function formatErrorBody(error: PomelostallError, requestId: string): ErrorBody {
    return {
        error: {
            message: error.message,
            type: error.code,
            code: error.code,
            param: null,
            outcome: error.outcome ?? Outcome.unknown,
            hint: error.hint,
            request_id: requestId,
        },
    };
}

/** Sends an error response. Must be called before any byte of the response is sent. */
export function sendError(response: ServerResponse, error: PomelostallError, requestId: string): void {
    const body = JSON.stringify(formatErrorBody(error, requestId));
    response.statusCode = error.status;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", Buffer.byteLength(body));
    if (error.retryAfterSeconds !== undefined) {
        response.setHeader("Retry-After", Math.max(1, Math.ceil(error.retryAfterSeconds)));
    }
    if (requiresConnectionClose(error)) {
        response.setHeader("Connection", "close");
    }
    response.end(body);
}

/** After a 408 or 413 the unread rest of the request body would be parsed as the next request on the connection. */
function requiresConnectionClose(error: PomelostallError): boolean {
    return error.status === 408 || error.status === 413;
}

/** Sends a complete JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.statusCode = status;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", Buffer.byteLength(body));
    response.end(body);
}
