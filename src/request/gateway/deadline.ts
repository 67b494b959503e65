/** Checks deadlines with a tolerance for timers that fire early. */
import { monotonicNow } from "../../common/clock.js";

/** Timers have millisecond resolution and may fire up to 1 ms early. */
const timerToleranceMilliseconds = 1;

/** Whether a deadline, in milliseconds on the monotonic clock, has passed or is about to within the tolerance. */
export function hasPassed(deadline: number): boolean {
    return monotonicNow() >= deadline - timerToleranceMilliseconds;
}
