/** The caller's deadline. */
import type { IncomingMessage } from "node:http";
import { BadRequestError } from "../../errors/index.js";

const timeoutHeader = "x-request-timeout-ms";

/** When the request must be answered, on the monotonic clock. Throws BadRequestError for a malformed header. */
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
        throw new BadRequestError("X-Request-Timeout-Ms must be a whole number of milliseconds above 0.");
    }
    return startedAt + Math.min(timeout, maximumTimeoutMilliseconds);
}
