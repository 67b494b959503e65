/** Polls for a value that is expected shortly, for at most 1 s or a small share of the caller's timeout. */
import { delay, monotonicNow } from "../../common/clock.js";
import { CallerGoneError, Outcome } from "../../errors/index.js";

/** Largest share of the caller's timeout to wait; the request is then rejected, with Retry-After if it has not run. */
const callerTimeoutShare = 0.15;
/** Callers abandon a stream that has no first event after 2 s; half of that remains for the response. */
const maximumWaitMilliseconds = 1_000;
const pollIntervalMilliseconds = 25;

export interface WaitLimits {
    /**
     * Monotonic time since which the caller has received nothing. Successive waits for one request that pass the same
     * time share one limit.
     */
    readonly since: number;
    /** The caller's timeout for the whole request. */
    readonly callerTimeoutMilliseconds: number;
    readonly callerGone: AbortSignal;
}

/**
 * Returns the first defined result, or undefined once the limit has passed. Rejects with CallerGoneError once
 * the caller has disconnected.
 */
export async function pollUntilDefined<Value>(
    poll: () => Value | undefined,
    { since, callerTimeoutMilliseconds, callerGone }: WaitLimits,
): Promise<Value | undefined> {
    const waitEnd = since + Math.min(maximumWaitMilliseconds, callerTimeoutMilliseconds * callerTimeoutShare);
    for (;;) {
        if (callerGone.aborted) {
            throw new CallerGoneError(Outcome.unknown);
        }
        const value = poll();
        if (value !== undefined || monotonicNow() >= waitEnd) {
            return value;
        }
        await delay(pollIntervalMilliseconds, callerGone);
    }
}
