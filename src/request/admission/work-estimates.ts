/**
 * Learns, for each route, which fraction of the requested tokens is used and how long a token takes. Before a route has
 * completed requests, all of the requested tokens are expected to be used.
 */
import { CostTable } from "../../process/request-costs/cost-table.js";
import type { CostPrior } from "../../process/request-costs/learned-cost.js";
import { meanOf } from "../../process/request-costs/log-normal.js";

/** Two in three requests of a route use between two thirds and one and a half times the usual fraction. */
const usagePrior: CostPrior = { mean: 1, logDeviation: 0.4, predictorLogDeviation: 1, memory: 20 };
const minimumUsageRatio = 0.05;

export class WorkEstimates {
    private readonly usageRatios = new CostTable();
    private readonly millisecondsPerToken = new CostTable();

    /** Estimates the tokens that a request will use, given their upper bound. */
    estimateTokens(route: string, tokenBound: number): number {
        const usageRatio = Math.min(1, meanOf(this.usageRatios.estimate([route], usagePrior)));
        return Math.max(1, Math.ceil(tokenBound * usageRatio));
    }

    /** Estimates the milliseconds from admission to completion; 0 while the route has no completed request. */
    estimateRunMilliseconds(route: string, tokens: number): number {
        return this.millisecondsPerToken.has(route)
            ? tokens * meanOf(this.millisecondsPerToken.estimate([route], usagePrior))
            : 0;
    }

    record(route: string, tokenBound: number, usedTokens: number, milliseconds: number): void {
        const usageRatio = Math.min(1, Math.max(minimumUsageRatio, usedTokens / tokenBound));
        const perToken = milliseconds / Math.max(1, usedTokens);
        this.usageRatios.record([route], usagePrior, usageRatio);
        this.millisecondsPerToken.record([route], { ...usagePrior, mean: perToken }, perToken);
    }
}
