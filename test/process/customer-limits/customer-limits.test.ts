import { afterEach, describe, expect, jest, test } from "@jest/globals";
import type { Customer } from "../../../src/domain/configuration.js";
import type { RouterMember } from "../../../src/domain/fleet.js";
import { CustomerLimits } from "../../../src/process/customer-limits/customer-limits.js";

const routerCount = 13;
const reportDelayMilliseconds = 1_000;
const customer: Customer = { name: "c", keyHashes: [], weight: 1, tokensPerSecond: 10_000, burstTokens: 10_000 };

/** Routers whose demand reports reach each other after `reportDelayMilliseconds`. */
class FakeFleet {
    private readonly reports = new Map<number, number>();
    readonly limits = Array.from({ length: routerCount }, (_unused, index) =>
        new CustomerLimits({
            members: () => Array.from({ length: routerCount }, () => ({ state: "alive" }) as RouterMember),
            reportDemand: (_customer, rate) => {
                setTimeout(() => this.reports.set(index, rate), reportDelayMilliseconds);
            },
            fleetDemand: () => [...this.reports.values()].reduce((sum, rate) => sum + rate, 0),
        }));

    /** Generates load at the given rates, in tokens per second for each router; returns the tokens allowed. */
    async offer(rates: readonly number[], milliseconds: number): Promise<number> {
        let allowed = 0;
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
            rates.forEach((rate, index) => {
                for (let tokens = rate / 20; tokens > 0; tokens -= 100) {
                    allowed += this.limits[index]!.tryTake(customer, 100).allowed ? 100 : 0;
                }
            });
            await jest.advanceTimersByTimeAsync(50);
        }
        return allowed;
    }
}

let fleet: FakeFleet;
const startFleet = async () => {
    fleet = new FakeFleet();
    await Promise.all(fleet.limits.map(limits => limits.start()));
};
afterEach(async () => {
    await Promise.all(fleet.limits.map(limits => limits.stop()));
});

describe("CustomerLimits", () => {
    test("enforces the limit over all routers while demand is even, skewed or shifts between routers", async () => {
        await startFleet();
        const even = Array<number>(routerCount).fill(4_000);
        const skewed = even.map((_rate, index) => index === 0 ? 40_000 : 1_000);
        const shifted = [...skewed].reverse();
        for (const rates of [even, skewed, shifted]) {
            // Demand starts or shifts at all routers at once: the burst and the old shares limit the tokens allowed.
            expect(await fleet.offer(rates, 6_000)).toBeLessThanOrEqual(6 * 10_000 * 1.1 + 10_000);
            const steady = await fleet.offer(rates, 10_000);
            expect(steady).toBeLessThanOrEqual(10 * 10_000 * 1.05);
            expect(steady).toBeGreaterThanOrEqual(10 * 10_000 * 0.9);
        }
    });

    test("allows the whole limit to be used at a single router", async () => {
        await startFleet();
        const rates = Array<number>(routerCount).fill(0);
        rates[3] = 20_000;
        await fleet.offer(rates, 5_000);
        const allowed = await fleet.offer(rates, 10_000);
        expect(allowed).toBeGreaterThan(95_000);
        expect(allowed).toBeLessThan(105_000);
    });

    test("deducts usage beyond the estimate from the allowance of later requests", async () => {
        await startFleet();
        const [limits] = fleet.limits;
        expect(limits!.tryTake(customer, 10).allowed).toBe(true);
        limits!.correct(customer, 5_000);
        const refused = limits!.tryTake(customer, 10);
        expect(refused.allowed).toBe(false);
        expect(refused.retryAfterSeconds).toBeGreaterThanOrEqual(5);
    });
});
