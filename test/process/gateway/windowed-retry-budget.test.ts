import { expect, jest, test } from "@jest/globals";
import fc from "fast-check";
import { SeededRandom } from "../../../src/common/random.js";
import { FormerProcess } from "../../../src/process/gateway/router-directory.js";
import { WindowedRetryBudget } from "../../../src/process/gateway/windowed-retry-budget.js";

const options = {
    ratio: 0.2,
    windowMilliseconds: 10_000,
    extra: 60,
    random: new SeededRandom(1),
    formerProcess: () => FormerProcess.none,
};

test("property: in any window the retries of all routers together stay within ratio x requests + extra", () => {
    const step = fc.record({
        router: fc.nat({ max: 2 }),
        requests: fc.nat({ max: 20 }),
        retries: fc.nat({ max: 60 }),
        pause: fc.nat({ max: 4_000 }),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const routers = [0, 1, 2].map(() => new WindowedRetryBudget({ ...options, routerCount: () => 3 }));
            const requests: number[] = [];
            const retries: number[] = [];
            for (const { router, requests: requestCount, retries: retryCount, pause } of steps) {
                jest.advanceTimersByTime(pause);
                const now = performance.now();
                for (let count = 0; count < requestCount; count++) {
                    routers[router]!.recordRequest("pool");
                    requests.push(now);
                }
                for (let count = 0; count < retryCount; count++) {
                    if (routers[router]!.tryConsume("pool")) {
                        retries.push(now);
                    }
                }
                const within = (times: readonly number[], from: number) => times.filter(time => time >= from).length;
                const from = now - options.windowMilliseconds;
                // The operators' limit also counts the requests of the window before.
                const allowed = options.ratio * within(requests, from - options.windowMilliseconds) + options.extra;
                expect(within(retries, from)).toBeLessThanOrEqual(allowed);
            }
        }),
        { seed: 20261204, numRuns: 50 },
    );
});

test("checking whether a retry is allowed does not consume the budget", () => {
    const budget = new WindowedRetryBudget({ ...options, ratio: 0, extra: 3, routerCount: () => 1 });
    expect([budget.allows("pool"), budget.allows("pool"), budget.allows("pool")]).toEqual([true, true, true]);
    expect([budget.tryConsume("pool"), budget.tryConsume("pool"), budget.tryConsume("pool")]).toEqual([
        true,
        true,
        false,
    ]);
    expect(budget.allows("pool")).toBe(false);
});

test("half of the full share is kept for requests that have no other way", () => {
    const budget = new WindowedRetryBudget({ ...options, routerCount: () => 10 });
    for (let count = 0; count < 20; count++) {
        budget.recordRequest("pool");
    }
    let used = 0;
    while (budget.hasReserve("pool") && budget.tryConsume("pool")) {
        used++;
    }
    expect(used).toBe(5);
    expect(budget.allows("pool")).toBe(true);
    jest.advanceTimersByTime(options.windowMilliseconds + 1);
    budget.recordRequest("pool");
    expect(budget.hasReserve("pool")).toBe(true);
});
