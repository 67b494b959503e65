/** Stall detection for attempts that send no new token. */
import {
    maximumQueueingMilliseconds,
    maximumTokenStallMilliseconds,
    minimumFirstTokenStallMilliseconds,
    minimumResumeStallMilliseconds,
    minimumTokenStallMilliseconds,
    stallFactor,
} from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";

/** The monotonic time, in milliseconds, at which the attempt counts as stalled unless a token arrives before then. */
export function stallDeadline({ run, choice, servers }: CurrentAttempt, isFirstAttempt: boolean): number {
    if (run.hasToken) {
        const expectedGap = Math.max(
            stallFactor * choice.expectedTokenMilliseconds,
            servers[0]!.expectedMaximumGapMilliseconds,
        );
        const bound = Math.max(minimumTokenStallMilliseconds, expectedGap);
        return run.lastProgressAt + Math.min(maximumTokenStallMilliseconds, bound);
    }
    const minimum = isFirstAttempt ? minimumFirstTokenStallMilliseconds : minimumResumeStallMilliseconds;
    return run.lastProgressAt + Math.max(minimum, stallFactor * choice.expectedFirstTokenMilliseconds);
}

/**
 * Whether an attempt without a token is queued behind other answers rather than stalled: all of its backend servers
 * have recently delivered tokens of other answers. Abandoning such an attempt would only add to their load.
 */
export function isQueueing({ run, servers, dispatchedAt }: CurrentAttempt, now: number): boolean {
    return !run.hasToken
        && now - dispatchedAt < maximumQueueingMilliseconds
        && servers.every(server => now - server.lastTokenAt < minimumTokenStallMilliseconds);
}
