/**
 * Retry budgets as token buckets: each first attempt adds a fraction of a retry and each retry takes one. A small
 * reserve refills with time, so that routes with little traffic can also retry, while on routes with much traffic
 * retries cannot multiply the load.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";
import type { RetryBudget, RetryBudgets } from "./types.js";

const maximumBudgets = 10_000;
/** Initial balance and limit of the refill with time: the retry burst of a route with little traffic. */
const reserveRetries = 10;
/** Maximum balance that first attempts can accumulate. */
const maximumSavedRetries = 100;
const reserveRetriesPerSecond = 1;
const millisecondsPerSecond = 1000;

export class TokenBucketRetryBudgets implements RetryBudgets {
    private readonly budgets = new LRUCache<string, TokenBucketRetryBudget>({ max: maximumBudgets });

    forRoute(name: string, retryShare: number): RetryBudget {
        let budget = this.budgets.get(name);
        if (budget === undefined) {
            budget = new TokenBucketRetryBudget();
            this.budgets.set(name, budget);
        }
        budget.retryShare = retryShare;
        return budget;
    }
}

class TokenBucketRetryBudget implements RetryBudget {
    retryShare = 0;
    private balance = reserveRetries;
    private refilledAt = monotonicNow();

    recordFirstAttempt(): void {
        this.balance = Math.min(maximumSavedRetries, this.balance + this.retryShare);
    }

    tryTake(): boolean {
        this.refillReserve();
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }

    /** Refills the balance for the elapsed time, up to `reserveRetries`. */
    private refillReserve(): void {
        const now = monotonicNow();
        const refill = ((now - this.refilledAt) / millisecondsPerSecond) * reserveRetriesPerSecond;
        this.refilledAt = now;
        if (this.balance < reserveRetries) {
            this.balance = Math.min(reserveRetries, this.balance + refill);
        }
    }
}
