/**
 * Learns the answer lengths of each route. Estimates use them instead of the maximum, since few answers use all the tokens
 * that they are allowed.
 */
import { CostTable } from "../../process/request-costs/cost-table.js";
import type { CostPrior } from "../../process/request-costs/learned-cost.js";
import { meanAbove } from "../../process/request-costs/log-normal.js";

/** A route whose answers are not known; two in three are within a factor of 2.2 of the usual one. */
const lengthPrior: CostPrior = { mean: 256, logDeviation: 0.8, predictorLogDeviation: 1, memory: 20 };

export class AnswerLengths {
    private readonly lengths = new CostTable();

    /** Estimates how many tokens the answer still needs: at least 1, otherwise at most those left of `maximumTokens`. */
    estimateRemaining(route: string, generated: number, maximumTokens: number): number {
        const expected = meanAbove(this.lengths.estimate([route], lengthPrior), generated) - generated;
        return Math.max(1, Math.min(Math.ceil(expected), maximumTokens - generated));
    }

    record(route: string, tokens: number): void {
        this.lengths.record([route], lengthPrior, tokens);
    }
}
