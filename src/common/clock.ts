/**
 * Monotonic time and cancellable waits on the runtime's clock. Leases, deadlines and limits use these and never
 * the wall clock, which can step. Jest's fake timers pause and advance both functions.
 */

/** Milliseconds on a clock that never steps. */
export function monotonicNow(): number {
    return performance.now();
}

/** Waits for the given time; an aborted signal ends the wait early without an error. */
export function delay(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish);
    });
}
