/**
 * Tracks the average answer length of each route. Estimates use it instead of the maximum, since few answers
 * use all the tokens that they are allowed.
 */
import { LRUCache } from "lru-cache";

const maximumRoutes = 10_000;
/** Starting value of a route's average, in tokens. */
const initialAverageTokens = 256;
/** Weight of the newest answer in the exponential moving average. */
const newestWeight = 0.05;
/**
 * The estimate of remaining tokens is at least this fraction of the average, also for an answer that is already longer
 * than the average, unless fewer tokens are left of `maximumTokens`.
 */
const minimumRemainingFraction = 0.25;

export class AnswerLengths {
    private readonly averages = new LRUCache<string, number>({ max: maximumRoutes });

    /** Estimates how many tokens the answer still needs: at least 1, otherwise at most those left of `maximumTokens`. */
    estimateRemaining(route: string, generated: number, maximumTokens: number): number {
        const average = this.averages.get(route) ?? initialAverageTokens;
        const expected = Math.max(average - generated, average * minimumRemainingFraction);
        return Math.max(1, Math.min(Math.ceil(expected), maximumTokens - generated));
    }

    record(route: string, tokens: number): void {
        const average = this.averages.get(route) ?? initialAverageTokens;
        this.averages.set(route, average + (tokens - average) * newestWeight);
    }
}
