/**
 * Retry budgets: each first attempt earns a share of a retry, each retry costs one. A small reserve fills again with
 * time, so that a quiet route can retry too, while a busy one can never multiply the load.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";
import type { RetryBudget, RetryBudgets } from "./types.js";

const maximumBudgets = 10_000;
/** Retries that a quiet route may make at once. */
const reserveRetries = 10;
/** Retries that a busy route can save up. */
const maximumSavedRetries = 100;
const reserveRetriesPerSecond = 1;
const millisecondsPerSecond = 1000;

export class TokenBucketRetryBudgets implements RetryBudgets {
    private readonly budgets = new LRUCache<string, TokenRetryBudget>({ max: maximumBudgets });

    forRoute(name: string, retryShare: number): RetryBudget {
        let budget = this.budgets.get(name);
        if (budget === undefined) {
            budget = new TokenRetryBudget();
            this.budgets.set(name, budget);
        }
        budget.retryShare = retryShare;
        return budget;
    }
}

class TokenRetryBudget implements RetryBudget {
    retryShare = 0;
    private balance = reserveRetries;
    private filledAt = monotonicNow();

    recordFirstAttempt(): void {
        this.balance = Math.min(maximumSavedRetries, this.balance + this.retryShare);
    }

    tryTake(): boolean {
        this.fillReserve();
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }

    /** Time alone fills the budget up to the reserve, never beyond. */
    private fillReserve(): void {
        const now = monotonicNow();
        const earned = ((now - this.filledAt) / millisecondsPerSecond) * reserveRetriesPerSecond;
        this.filledAt = now;
        if (this.balance < reserveRetries) {
            this.balance = Math.min(reserveRetries, this.balance + earned);
        }
    }
}
