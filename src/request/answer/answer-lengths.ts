/** Learns how long each route's answers are, since few use all the tokens that they may. */
import { LRUCache } from "lru-cache";

const maximumRoutes = 10_000;
/** Assumed before a route's first answer. */
const initialTokens = 256;
/** Weight of the newest answer in the moving average. */
const newestShare = 0.05;
/** An answer that is longer than usual is expected to go on for this share of the usual length. */
const overrunShare = 0.25;

export class AnswerLengths {
    private readonly averages = new LRUCache<string, number>({ max: maximumRoutes });

    /** Tokens that are likely still to come. */
    remaining(route: string, generated: number, maximumTokens: number): number {
        const usual = this.averages.get(route) ?? initialTokens;
        const expected = Math.max(usual - generated, usual * overrunShare);
        return Math.max(1, Math.min(Math.ceil(expected), maximumTokens - generated));
    }

    record(route: string, tokens: number): void {
        const usual = this.averages.get(route) ?? initialTokens;
        this.averages.set(route, usual + (tokens - usual) * newestShare);
    }
}
