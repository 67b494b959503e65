/** When an attempt without a new token counts as stalled. */
import {
    maximumQueueingMilliseconds,
    maximumTokenStallMilliseconds,
    minimumFirstTokenStallMilliseconds,
    minimumResumeStallMilliseconds,
    minimumTokenStallMilliseconds,
    stallFactor,
} from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";

/** The time at which the attempt counts as stalled unless a token comes first; monotonic milliseconds. */
export function stallDue({ run, choice, servers }: CurrentAttempt, isFirstAttempt: boolean): number {
    if (run.madeProgress) {
        const usual = Math.max(stallFactor * choice.expectedTokenMilliseconds, servers[0]!.usualGapMilliseconds);
        const bound = Math.max(minimumTokenStallMilliseconds, usual);
        return run.lastProgress + Math.min(maximumTokenStallMilliseconds, bound);
    }
    const minimum = isFirstAttempt ? minimumFirstTokenStallMilliseconds : minimumResumeStallMilliseconds;
    return run.lastProgress + Math.max(minimum, stallFactor * choice.expectedFirstTokenMilliseconds);
}

/**
 * Whether an attempt without a token merely waits behind others: all of its backend servers have just served tokens of
 * other answers. Giving it up would only add to their load.
 */
export function isQueueing({ run, servers, dispatchedAt }: CurrentAttempt, now: number): boolean {
    return !run.madeProgress
        && now - dispatchedAt < maximumQueueingMilliseconds
        && servers.every(server => now - server.lastTokenAt < minimumTokenStallMilliseconds);
}
