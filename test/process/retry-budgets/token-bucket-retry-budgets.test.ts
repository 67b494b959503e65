import { describe, expect, jest, test } from "@jest/globals";
import { TokenBucketRetryBudgets } from "../../../src/process/retry-budgets/token-bucket-retry-budgets.js";

describe("TokenBucketRetryBudgets", () => {
    test("allows retries in proportion to first attempts, plus a small reserve", () => {
        const budget = new TokenBucketRetryBudgets().forRoute("route", 0.1);
        let retries = 0;
        for (let request = 0; request < 1_000; request++) {
            budget.recordFirstAttempt();
            retries += budget.tryTake() ? 1 : 0;
        }
        expect(retries).toBeGreaterThanOrEqual(100);
        expect(retries).toBeLessThanOrEqual(110);
    });

    test("refills with time only up to the reserve, and applies a changed retry share", async () => {
        const budgets = new TokenBucketRetryBudgets();
        const budget = budgets.forRoute("route", 0);
        const takeAll = () => {
            let taken = 0;
            while (budget.tryTake()) {
                taken++;
            }
            return taken;
        };
        expect(takeAll()).toBe(10);
        await jest.advanceTimersByTimeAsync(3_600_000);
        expect(takeAll()).toBe(10);
        budgets.forRoute("route", 1).recordFirstAttempt();
        expect(takeAll()).toBe(1);
    });
});
