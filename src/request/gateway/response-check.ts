/** Validates the status and headers of a backend server's response. */
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";

export const ResponseVerdict = {
    /** A valid response, success or error; the backend server has run the request. */
    answered: "answered",
    /** The backend server reports that it did not run the request. */
    notRun: "not-run",
    /**
     * Must not be forwarded to the caller: it carries another request's ID, has a content encoding, or is a success
     * without the backend server's proof header or without the request ID or that reports that the request has not run.
     */
    invalid: "invalid",
} as const;
export type ResponseVerdict = typeof ResponseVerdict[keyof typeof ResponseVerdict];

const misdirectedRequestStatus = 421;
const lowestErrorStatus = 400;

export function checkResponse(head: ResponseHead, requestId: string, names: HeaderNames): ResponseVerdict {
    const echoedRequestId = head.headers[names.requestId];
    if (echoedRequestId !== undefined && echoedRequestId !== requestId) {
        return ResponseVerdict.invalid;
    }
    const success = head.status < lowestErrorStatus;
    const reportsNotRun = head.status === misdirectedRequestStatus || head.headers[names.notRun] !== undefined;
    if (reportsNotRun) {
        return success ? ResponseVerdict.invalid : ResponseVerdict.notRun;
    }
    const hasProofAndRequestId = head.headers[names.proof] !== undefined && echoedRequestId === requestId;
    if (head.headers["content-encoding"] !== undefined || (success && !hasProofAndRequestId)) {
        return ResponseVerdict.invalid;
    }
    return ResponseVerdict.answered;
}
