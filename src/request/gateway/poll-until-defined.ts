/** Polls for a value that is expected shortly. */
import { delay, monotonicNow } from "../../common/clock.js";
import { CallerGoneError, Outcome } from "../../errors/index.js";

/** Largest share of the caller's timeout to wait; the request is then rejected, with Retry-After if it has not run. */
const callerTimeoutShare = 0.15;
/** Callers abandon a stream that has no first event after 2 s; half of that remains for the response. */
const maximumWaitMilliseconds = 1_000;
const pollIntervalMilliseconds = 25;

export interface WaitLimits {
    /** Monotonic time in milliseconds at which the wait ends. */
    readonly until: number;
    readonly callerGone: AbortSignal;
}

/**
 * Returns the monotonic time until which a request may wait that has received nothing since the given time: for at most 1 s
 * or a small share of the caller's timeout. Successive waits that pass the same time share one limit.
 */
export function shortWaitEnd(since: number, callerTimeoutMilliseconds: number): number {
    return since + Math.min(maximumWaitMilliseconds, callerTimeoutMilliseconds * callerTimeoutShare);
}

/**
 * Returns the first defined result, or undefined once the wait has ended. Rejects with CallerGoneError once
 * the caller has disconnected.
 */
export async function pollUntilDefined<Value>(
    poll: () => Value | undefined,
    { until, callerGone }: WaitLimits,
): Promise<Value | undefined> {
    for (;;) {
        if (callerGone.aborted) {
            throw new CallerGoneError(Outcome.unknown);
        }
        const value = poll();
        if (value !== undefined || monotonicNow() >= until) {
            return value;
        }
        await delay(pollIntervalMilliseconds, callerGone);
    }
}
