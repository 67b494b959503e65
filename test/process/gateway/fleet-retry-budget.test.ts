/** Replays failures that hit the requests of some of many routers, against the retry budget that all of them share. */
import { describe, expect, jest, test } from "@jest/globals";
import fc from "fast-check";
import { SeededRandom } from "../../../src/common/random.js";
import { FleetRetryBudget } from "../../../src/process/gateway/fleet-retry-budget.js";
import { FormerProcess } from "../../../src/process/gateway/router-directory.js";
import { WindowedRetryBudget } from "../../../src/process/gateway/windowed-retry-budget.js";

const windowMilliseconds = 10_000;
const noticeInterval = 500;
const service = "pool";

/** Routers and their placement leader, router 0; notices carry the grants and return what each router has used. */
class BudgetedFleet {
    readonly budgets: WindowedRetryBudget[];
    private readonly leader: FleetRetryBudget;

    constructor(routerCount: number, ratio: number, extra: number) {
        const random = new SeededRandom(20261204);
        const options = { ratio, extra, windowMilliseconds, routerCount: () => routerCount, random };
        this.budgets = Array.from(
            { length: routerCount },
            () => new WindowedRetryBudget({ ...options, formerProcess: () => FormerProcess.none }),
        );
        this.leader = new FleetRetryBudget({ ...options, ownReport: () => this.budgets[0]!.report });
    }

    /** Sends a notice to the routers for which `reached` is true. */
    sendNotices(reached: (router: number) => boolean = () => true): void {
        const grants = this.leader.computeGrants();
        this.budgets[0]!.applyGrants(grants);
        this.budgets.slice(1).forEach((budget, index) => {
            const router = index + 1;
            const granted = this.leader.grantsFor(String(router), grants);
            if (reached(router)) {
                budget.applyGrants(granted);
                this.leader.recordReport(String(router), budget.report);
            }
        });
    }

    /** Sends notices until each router has answered one with grants, and all that is left is granted. */
    establish(): void {
        for (let round = 0; round < 3; round++) {
            this.sendNotices();
            jest.advanceTimersByTime(noticeInterval);
        }
    }
}

/** Retries that a router makes in 5 s of a failure, in which it needs four every half second. */
function countRetriesInFailure(fleet: BudgetedFleet, router: number, withNotices: boolean): number {
    let retries = 0;
    for (let notice = 0; notice < 10; notice++) {
        if (withNotices) {
            fleet.sendNotices();
        }
        for (let needed = 0; needed < 4; needed++) {
            retries += Number(fleet.budgets[router]!.tryConsume(service));
        }
        jest.advanceTimersByTime(noticeInterval);
    }
    return retries;
}

const countConsumable = (budget: WindowedRetryBudget) => {
    let count = 0;
    while (budget.tryConsume(service)) {
        count++;
    }
    return count;
};

describe("FleetRetryBudget", () => {
    test("a router that a failure hits gets more than its own share while the others need none", () => {
        const createLoadedFleet = () => {
            const fleet = new BudgetedFleet(195, 0.2, 574);
            fleet.budgets.forEach(budget => Array.from({ length: 13 }, () => budget.recordRequest(service)));
            fleet.establish();
            return fleet;
        };
        expect(countRetriesInFailure(createLoadedFleet(), 7, true)).toBeGreaterThanOrEqual(15);
        expect(countRetriesInFailure(new BudgetedFleet(195, 0.2, 574), 7, false)).toBeLessThanOrEqual(3);
    });

    // The sum of fixed shares and of what had been granted before was up to twice the budget.
    test("when the notices end, a router keeps a part of its share, and has all of it after a window without grants", () => {
        const fleet = new BudgetedFleet(15, 0, 450);
        expect(countConsumable(fleet.budgets[7]!)).toBe(21);
        fleet.budgets[7]!.recordRequest(service);
        jest.advanceTimersByTime(windowMilliseconds + 1);
        fleet.budgets.forEach(budget => budget.recordRequest(service));
        fleet.establish();
        jest.advanceTimersByTime(2 * noticeInterval);
        expect(countConsumable(fleet.budgets[7]!)).toBe(5);
        jest.advanceTimersByTime(windowMilliseconds + 1);
        expect(countConsumable(fleet.budgets[7]!)).toBe(21);
    });

    test("a leader that does not know what others have used grants for a window nothing, and leaves the shares as they are", () => {
        const fleet = new BudgetedFleet(15, 0, 450);
        fleet.budgets.forEach(budget => budget.recordRequest(service));
        fleet.sendNotices(router => router !== 3 && router !== 4);
        jest.advanceTimersByTime(noticeInterval);
        fleet.sendNotices(router => router !== 3 && router !== 4);
        jest.advanceTimersByTime(noticeInterval);
        expect(countConsumable(fleet.budgets[7]!)).toBe(21);
        for (let round = 0; round < 24; round++) {
            fleet.budgets.forEach(budget => budget.recordRequest(service));
            fleet.sendNotices(router => router !== 3 && router !== 4);
            jest.advanceTimersByTime(noticeInterval);
        }
        expect(countConsumable(fleet.budgets[7]!)).toBeGreaterThan(5);
    });

    test("property: in any window the retries of all routers stay within ratio x requests + extra", () => {
        const step = fc.record({
            requests: fc.nat({ max: 6 }),
            wanted: fc.array(fc.nat({ max: 30 }), { minLength: 5, maxLength: 5 }),
            unreached: fc.nat({ max: 7 }),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), steps => {
                jest.advanceTimersByTime(3 * windowMilliseconds);
                const fleet = new BudgetedFleet(5, 0.2, 60);
                const requests: number[] = [];
                const retries: number[] = [];
                for (const { requests: requestCount, wanted, unreached } of steps) {
                    const now = performance.now();
                    fleet.budgets.forEach((budget, router) => {
                        for (let count = 0; count < requestCount; count++) {
                            budget.recordRequest(service);
                            requests.push(now);
                        }
                        for (let count = 0; count < wanted[router]!; count++) {
                            if (budget.tryConsume(service)) {
                                retries.push(now);
                            }
                        }
                    });
                    const within = (times: readonly number[], from: number) => times.filter(time => time > from).length;
                    const from = now - windowMilliseconds;
                    // The operators' limit also counts the requests of the window before.
                    const allowed = 0.2 * within(requests, from - windowMilliseconds) + 60;
                    expect(within(retries, from)).toBeLessThanOrEqual(allowed);
                    fleet.sendNotices(router => router !== unreached);
                    jest.advanceTimersByTime(noticeInterval);
                }
            }),
            { seed: 20261204, numRuns: 100 },
        );
    });
});
