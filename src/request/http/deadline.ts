/** Determines a request's deadline from the caller's X-Request-Timeout-Ms header. */
import type { IncomingMessage } from "node:http";
import { BadRequestError } from "../../errors/index.js";

const timeoutHeader = "x-request-timeout-ms";

/**
 * Returns the request's deadline in milliseconds on the monotonic clock. The timeout is that of the header, or the
 * default if there is none, limited to the maximum. Throws BadRequestError if the header is malformed.
 */
export function requestDeadline(
    request: IncomingMessage,
    startedAt: number,
    defaultTimeoutMilliseconds: number,
    maximumTimeoutMilliseconds: number,
): number {
    const header = request.headers[timeoutHeader];
    if (header === undefined) {
        return startedAt + Math.min(defaultTimeoutMilliseconds, maximumTimeoutMilliseconds);
    }
    const timeout = typeof header === "string" && /^\d{1,9}$/.test(header) ? Number(header) : 0;
    if (timeout <= 0) {
        throw new BadRequestError("X-Request-Timeout-Ms must be a positive integer number of milliseconds.");
    }
    return startedAt + Math.min(timeout, maximumTimeoutMilliseconds);
}
