/** Waits for something that is about to be there, for a small part of the time that the caller waits. */
import { delay, monotonicNow } from "../../common/clock.js";

/** Part of the caller's time after which it is told to come back instead. */
const waitShare = 0.15;
/** Callers abandon a stream without its first event after 2 s; half of that is left for the answer. */
const maximumWaitMilliseconds = 1_000;
const reviewMilliseconds = 25;

/** The first defined result, or undefined if there is none in time or the caller has gone. */
export async function waitFor<Value>(
    look: () => Value | undefined,
    patienceMilliseconds: number,
    callerGone: AbortSignal,
): Promise<Value | undefined> {
    const end = monotonicNow() + Math.min(maximumWaitMilliseconds, patienceMilliseconds * waitShare);
    for (;;) {
        const value = look();
        if (value !== undefined || callerGone.aborted || monotonicNow() >= end) {
            return value;
        }
        await delay(reviewMilliseconds, callerGone);
    }
}
