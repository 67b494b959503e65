/** Decides what the head of a backend server's answer is worth. */
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";

export const AnswerVerdict = {
    /** The backend server's own answer, good or bad; it has run the request. */
    answered: "answered",
    /** The backend server states that it has not run the request. */
    notRun: "not-run",
    /** Not an answer to this request that a caller may be given. */
    invalid: "invalid",
} as const;
export type AnswerVerdict = typeof AnswerVerdict[keyof typeof AnswerVerdict];

const misdirected = 421;
const lowestFailure = 400;

export function judgeAnswer(head: ResponseHead, requestId: string, names: HeaderNames): AnswerVerdict {
    const echoed = head.headers[names.requestId];
    if (echoed !== undefined && echoed !== requestId) {
        return AnswerVerdict.invalid;
    }
    if (head.status === misdirected || head.headers[names.notRun] !== undefined) {
        return AnswerVerdict.notRun;
    }
    const success = head.status < lowestFailure;
    const provenSuccess = head.headers[names.proof] !== undefined && echoed === requestId;
    if (head.headers["content-encoding"] !== undefined || (success && !provenSuccess)) {
        return AnswerVerdict.invalid;
    }
    return AnswerVerdict.answered;
}
