/** Paces an activity on the monotonic clock: a steady rate with a bounded burst. */
import { monotonicNow } from "./clock.js";

const millisecondsPerSecond = 1_000;

export class TokenBucket {
    private tokens: number;
    private refilledAt = monotonicNow();

    constructor(private readonly tokensPerSecond: number, private readonly burst: number) {
        this.tokens = burst;
    }

    /** Takes a token if there is one, and otherwise gives the milliseconds until there will be. */
    tryTake(): number {
        const now = monotonicNow();
        const refill = ((now - this.refilledAt) * this.tokensPerSecond) / millisecondsPerSecond;
        this.tokens = Math.min(this.burst, this.tokens + refill);
        this.refilledAt = now;
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return Math.ceil(((1 - this.tokens) * millisecondsPerSecond) / this.tokensPerSecond);
    }
}
