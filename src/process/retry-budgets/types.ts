/** Limits on retries, as a share of first attempts. */

export interface RetryBudget {
    /** Counts a first attempt. */
    recordFirstAttempt(): void;
    /** Takes one retry out of the budget; false when it is used up. */
    tryTake(): boolean;
}

export interface RetryBudgets {
    /** The budget of a route or plain service. */
    forRoute(name: string, retryShare: number): RetryBudget;
}
