/**
 * Pauses the runtime's clock for a benchmark. Import this module before any other: `most` takes the clock's functions
 * when it is loaded.
 */
import FakeTimers from "@sinonjs/fake-timers";

/** The paused clock; `tickAsync` advances it and lets pending promises settle. */
export const pausedClock = FakeTimers.install({
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

/** Advances the clock in steps until the promise settles. */
export async function runUntilSettled<Value>(promise: Promise<Value>, stepMilliseconds = 1): Promise<Value> {
    let settled = false;
    const watched = promise.finally(() => {
        settled = true;
    });
    watched.catch(() => undefined);
    while (!settled) {
        await pausedClock.tickAsync(stepMilliseconds);
    }
    return watched;
}
