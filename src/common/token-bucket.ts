/** Rate limiter on the monotonic clock, with a sustained rate and a maximum burst. */
import { monotonicNow } from "./clock.js";

const millisecondsPerSecond = 1_000;

export class TokenBucket {
    private tokens: number;
    private refilledAt = monotonicNow();

    constructor(private readonly tokensPerSecond: number, private readonly burstTokens: number) {
        this.tokens = burstTokens;
    }

    /**
     * Takes a token and returns 0 if one is available. Otherwise takes none and returns the time until the next token,
     * in milliseconds.
     */
    tryTake(): number {
        const now = monotonicNow();
        const refill = ((now - this.refilledAt) * this.tokensPerSecond) / millisecondsPerSecond;
        this.tokens = Math.min(this.burstTokens, this.tokens + refill);
        this.refilledAt = now;
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return Math.ceil(((1 - this.tokens) * millisecondsPerSecond) / this.tokensPerSecond);
    }
}
