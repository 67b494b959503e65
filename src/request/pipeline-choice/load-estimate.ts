/**
 * Present load of a backend server, from a report that is late and this router's own work, which is exact. An old
 * report counts for less, and the mean of servers alike for more.
 */
import type { Candidate } from "./candidate-index.js";
import { reportHalfLifeMilliseconds } from "./constants.js";

export interface LoadEstimate {
    readonly attempts: number;
    readonly queuedAttempts: number;
    /** Time of one decoding step under this load. */
    readonly stepMilliseconds: number;
}

const noLoad: LoadEstimate = { attempts: 0, queuedAttempts: 0, stepMilliseconds: 0 };

/** Mean load of candidates by their last reports, corrected by own work. */
export function meanLoad(candidates: readonly Candidate[]): LoadEstimate {
    let total = 0;
    let attempts = 0;
    let queuedAttempts = 0;
    let stepMilliseconds = 0;
    for (const { record } of candidates) {
        if (record.load !== undefined) {
            total++;
            attempts += record.load.report.runningAttempts + record.ownAttempts - record.load.ownAttempts;
            queuedAttempts += record.load.report.queuedAttempts;
            stepMilliseconds += record.load.smoothedStepMilliseconds;
        }
    }
    return total === 0 ? noLoad : {
        attempts: Math.max(0, attempts / total),
        queuedAttempts: queuedAttempts / total,
        stepMilliseconds: stepMilliseconds / total,
    };
}

/** The load of one server now. The mean is that of its group. */
export function estimateLoad({ record }: Candidate, mean: LoadEstimate, now: number): LoadEstimate {
    const { load, ownAttempts } = record;
    if (load === undefined) {
        return { ...mean, attempts: Math.max(mean.attempts, ownAttempts) };
    }
    const trust = 2 ** (-(now - load.receivedAt) / reportHalfLifeMilliseconds);
    const blend = (reported: number, usual: number) => trust * reported + (1 - trust) * usual;
    const reported = load.report.runningAttempts;
    const since = ownAttempts - load.ownAttempts;
    const attempts = Math.max(ownAttempts, blend(reported, mean.attempts) + since, 0);
    const growth = reported > 0 ? Math.max(attempts, 1) / reported : 1;
    return {
        attempts,
        queuedAttempts: blend(load.report.queuedAttempts, mean.queuedAttempts),
        stepMilliseconds: blend(load.smoothedStepMilliseconds * growth, mean.stepMilliseconds),
    };
}
