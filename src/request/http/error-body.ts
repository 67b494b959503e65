/** The one JSON shape of every failure towards callers, and how it is sent. */
import type { ServerResponse } from "node:http";
import { InternalError, Outcome, PomelostallError } from "../../errors/index.js";

/** The body of a failure. `type`, `code`, `message` and `param` stand where LLM clients look for them. */
export interface ErrorBody {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: string;
        readonly param: string | null;
        /** What is known of the request's effect. */
        readonly outcome: Outcome;
        readonly hint: string;
        readonly request_id: string;
    };
}

/** Any failure as a typed one. */
export function toPomelostallError(error: unknown): PomelostallError {
    return error instanceof PomelostallError ? error : new InternalError("An unexpected failure occurred.", error);
}

export function errorBody(error: PomelostallError, requestId: string): ErrorBody {
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

/** Sends a failure before any other byte of the response. */
export function sendError(response: ServerResponse, error: PomelostallError, requestId: string): void {
    const body = JSON.stringify(errorBody(error, requestId));
    response.statusCode = error.status;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", Buffer.byteLength(body));
    if (error.retryAfterSeconds !== undefined) {
        response.setHeader("Retry-After", Math.max(1, Math.ceil(error.retryAfterSeconds)));
    }
    if (closesConnection(error)) {
        response.setHeader("Connection", "close");
    }
    response.end(body);
}

/** The rest of a body that was not read would be taken for the next request. */
function closesConnection(error: PomelostallError): boolean {
    return error.status === 408 || error.status === 413;
}

/** Sends a JSON value. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.statusCode = status;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", Buffer.byteLength(body));
    response.end(body);
}
