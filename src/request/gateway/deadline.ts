/** Whether a deadline has passed, as timers tell it. */
import { monotonicNow } from "../../common/clock.js";

/** Timers count whole milliseconds and may fire up to one before the exact time. */
const timerToleranceMilliseconds = 1;

/** The deadline is a time of the monotonic clock. */
export function hasPassed(deadline: number): boolean {
    return monotonicNow() >= deadline - timerToleranceMilliseconds;
}
