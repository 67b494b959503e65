/**
 * Replaces the timers and clocks of this process by fake ones. Import this module first: the stream library `most`
 * captures the timer functions when it is loaded.
 */
import FakeTimers from "@sinonjs/fake-timers";

/** The fake clock; `tickAsync` advances it and lets pending promises settle. */
export const fakeClock = FakeTimers.install({
    toFake: [
        "setTimeout",
        "clearTimeout",
        "setInterval",
        "clearInterval",
        "setImmediate",
        "clearImmediate",
        "Date",
        "performance",
    ],
});

/** Advances the fake clock in steps until the promise settles, and returns the promise. */
export async function runUntilSettled<Value>(promise: Promise<Value>, stepMilliseconds = 1): Promise<Value> {
    let settled = false;
    const watched = promise.finally(() => {
        settled = true;
    });
    watched.catch(() => undefined);
    while (!settled) {
        await fakeClock.tickAsync(stepMilliseconds);
    }
    return watched;
}
