/**
 * Tracks the average answer length of each route. Estimates use it instead of the maximum, since few answers
 * use all the tokens that they are allowed.
 */
import { LRUCache } from "lru-cache";

const maximumRoutes = 10_000;
/** Answer length assumed until a route's first answer is recorded. */
const initialTokens = 256;
/** Weight of the newest answer in the exponential moving average. */
const newestWeight = 0.05;
/** The estimate of remaining tokens never falls below this fraction of the average, also for overlong answers. */
const overrunFraction = 0.25;

export class AnswerLengths {
    private readonly averages = new LRUCache<string, number>({ max: maximumRoutes });

    /** Estimates how many tokens the answer still needs: at least 1, and otherwise within `maximumTokens`. */
    estimateRemaining(route: string, generated: number, maximumTokens: number): number {
        const average = this.averages.get(route) ?? initialTokens;
        const expected = Math.max(average - generated, average * overrunFraction);
        return Math.max(1, Math.min(Math.ceil(expected), maximumTokens - generated));
    }

    record(route: string, tokens: number): void {
        const average = this.averages.get(route) ?? initialTokens;
        this.averages.set(route, average + (tokens - average) * newestWeight);
    }
}
