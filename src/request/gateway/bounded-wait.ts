/** Waits for something that is about to be there, for a small part of the time that the caller waits. */
import { delay, monotonicNow } from "../../common/clock.js";

/** Part of the caller's time after which it is told to come back instead. */
const waitShare = 0.15;
/** Callers abandon a stream without its first event after 2 s; half of that is left for the answer. */
const maximumWaitMilliseconds = 1_000;
const reviewMilliseconds = 25;

export interface WaitLimits {
    /** Monotonic time since which the caller has seen nothing; several waits for one request share their time. */
    readonly since: number;
    /** The caller's whole time. */
    readonly patienceMilliseconds: number;
    readonly callerGone: AbortSignal;
}

/** The first defined result, or undefined if there is none in time or the caller has gone. */
export async function waitFor<Value>(
    look: () => Value | undefined,
    { since, patienceMilliseconds, callerGone }: WaitLimits,
): Promise<Value | undefined> {
    const end = since + Math.min(maximumWaitMilliseconds, patienceMilliseconds * waitShare);
    for (;;) {
        const value = look();
        if (value !== undefined || callerGone.aborted || monotonicNow() >= end) {
            return value;
        }
        await delay(reviewMilliseconds, callerGone);
    }
}
