/**
 * Estimates the present load of a backend server from its last load report, which is stale, and from this router's own
 * attempts, which are known exactly. The older the report, the more the mean load of the server's group counts.
 */
import type { Candidate } from "./candidate-index.js";
import { reportHalfLifeMilliseconds } from "./constants.js";

export interface LoadEstimate {
    readonly attempts: number;
    /** Prompt and output tokens that are still to be computed for those attempts. */
    readonly pendingTokens: number;
    /** Duration of the last reported engine step; 0 if unknown. */
    readonly stepMilliseconds: number;
}

const noLoad: LoadEstimate = { attempts: 0, pendingTokens: 0, stepMilliseconds: 0 };

/** Mean load of the candidates with a load report, adjusted for the change in this router's own attempts since then. */
export function meanLoad(candidates: readonly Candidate[]): LoadEstimate {
    let reportCount = 0;
    let attempts = 0;
    let pendingTokens = 0;
    let stepMilliseconds = 0;
    for (const { record: { load, ownAttempts, ownTokens } } of candidates) {
        if (load !== undefined) {
            reportCount++;
            attempts += load.report.runningAttempts + ownAttempts - load.ownAttempts;
            pendingTokens += load.report.pendingTokens + ownTokens - load.ownTokens;
            stepMilliseconds += load.report.stepMilliseconds;
        }
    }
    return reportCount === 0 ? noLoad : {
        attempts: Math.max(0, attempts / reportCount),
        pendingTokens: Math.max(0, pendingTokens / reportCount),
        stepMilliseconds: stepMilliseconds / reportCount,
    };
}

/** Estimates the load of one server at time `now`; `mean` is the mean load of its candidate group. */
export function estimateLoad({ record }: Candidate, mean: LoadEstimate, now: number): LoadEstimate {
    const { load, ownAttempts, ownTokens } = record;
    if (load === undefined) {
        return {
            attempts: Math.max(mean.attempts, ownAttempts),
            pendingTokens: Math.max(mean.pendingTokens, ownTokens),
            stepMilliseconds: mean.stepMilliseconds,
        };
    }
    const reportWeight = 2 ** (-(now - load.receivedAt) / reportHalfLifeMilliseconds);
    const blend = (reported: number, usual: number) => reportWeight * reported + (1 - reportWeight) * usual;
    const { runningAttempts, pendingTokens } = load.report;
    return {
        attempts: Math.max(ownAttempts, blend(runningAttempts, mean.attempts) + ownAttempts - load.ownAttempts),
        pendingTokens: Math.max(0, blend(pendingTokens, mean.pendingTokens) + ownTokens - load.ownTokens),
        stepMilliseconds: load.report.stepMilliseconds,
    };
}
