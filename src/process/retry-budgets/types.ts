/** Limits on the number of retries in proportion to first attempts. */

export interface RetryBudget {
    /** Adds the route's retry share to the budget for a first attempt. */
    recordFirstAttempt(): void;
    /** Takes one retry from the budget. Returns false, taking nothing, if less than one retry is left. */
    tryTake(): boolean;
}

export interface RetryBudgets {
    /**
     * Returns the budget of the named route or plain service, with `retryShare` retries allowed for each first attempt.
     * A changed share applies to later first attempts.
     */
    forRoute(name: string, retryShare: number): RetryBudget;
}
