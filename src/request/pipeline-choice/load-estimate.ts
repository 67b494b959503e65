/**
 * Present load of a backend server, from a report that is late and this router's own work, which is exact. An old
 * report counts for less, and the mean of servers alike for more.
 */
import type { Candidate } from "./candidate-index.js";
import { reportHalfLifeMilliseconds } from "./constants.js";

export interface LoadEstimate {
    readonly attempts: number;
    /** Tokens of prompt and answer that are still to be computed for those attempts. */
    readonly pendingTokens: number;
    /** Time of the last reported step; 0 when unknown. */
    readonly stepMilliseconds: number;
}

const noLoad: LoadEstimate = { attempts: 0, pendingTokens: 0, stepMilliseconds: 0 };

/** Mean load of candidates by their last reports, corrected by own work. */
export function meanLoad(candidates: readonly Candidate[]): LoadEstimate {
    let total = 0;
    let attempts = 0;
    let pendingTokens = 0;
    let stepMilliseconds = 0;
    for (const { record: { load, ownAttempts, ownTokens } } of candidates) {
        if (load !== undefined) {
            total++;
            attempts += load.report.runningAttempts + ownAttempts - load.ownAttempts;
            pendingTokens += load.report.pendingTokens + ownTokens - load.ownTokens;
            stepMilliseconds += load.report.stepMilliseconds;
        }
    }
    return total === 0 ? noLoad : {
        attempts: Math.max(0, attempts / total),
        pendingTokens: Math.max(0, pendingTokens / total),
        stepMilliseconds: stepMilliseconds / total,
    };
}

/** The load of one server now. The mean is that of its group. */
export function estimateLoad({ record }: Candidate, mean: LoadEstimate, now: number): LoadEstimate {
    const { load, ownAttempts, ownTokens } = record;
    if (load === undefined) {
        return {
            attempts: Math.max(mean.attempts, ownAttempts),
            pendingTokens: Math.max(mean.pendingTokens, ownTokens),
            stepMilliseconds: mean.stepMilliseconds,
        };
    }
    const trust = 2 ** (-(now - load.receivedAt) / reportHalfLifeMilliseconds);
    const blend = (reported: number, usual: number) => trust * reported + (1 - trust) * usual;
    const { runningAttempts, pendingTokens } = load.report;
    return {
        attempts: Math.max(ownAttempts, blend(runningAttempts, mean.attempts) + ownAttempts - load.ownAttempts),
        pendingTokens: Math.max(0, blend(pendingTokens, mean.pendingTokens) + ownTokens - load.ownTokens),
        stepMilliseconds: load.report.stepMilliseconds,
    };
}
