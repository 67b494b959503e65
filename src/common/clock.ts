/**
 * Monotonic time and cancellable delays. Leases, deadlines and rate limits use these functions instead of the wall
 * clock, which can jump when it is adjusted. Jest's fake timers control both functions.
 */

/** Milliseconds on a monotonic clock with an arbitrary origin. */
export function monotonicNow(): number {
    return performance.now();
}

/** Resolves after the given time, or as soon as the signal is aborted. Never rejects. */
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
