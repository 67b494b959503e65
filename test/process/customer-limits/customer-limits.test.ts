import { afterEach, describe, expect, jest, test } from "@jest/globals";
import type { Customer } from "../../../src/domain/configuration.js";
import type { RouterMember } from "../../../src/domain/fleet.js";
import { CustomerLimits } from "../../../src/process/customer-limits/customer-limits.js";

const routers = 13;
const spreadMilliseconds = 1_000;
const customer: Customer = { name: "c", keyHashes: [], weight: 1, tokensPerSecond: 10_000, burstTokens: 10_000 };

/** Routers whose reports reach each other after a while. */
class FakeFleet {
    private readonly reports = new Map<number, number>();
    readonly limits = Array.from({ length: routers }, (_unused, index) =>
        new CustomerLimits({
            members: () => Array.from({ length: routers }, () => ({ state: "alive" }) as RouterMember),
            reportDemand: (_customer, rate) => {
                setTimeout(() => this.reports.set(index, rate), spreadMilliseconds);
            },
            fleetDemand: () => [...this.reports.values()].reduce((sum, rate) => sum + rate, 0),
        }));

    /** Offers the rates, in tokens a second at each router, and returns the tokens that were allowed. */
    async offer(rates: readonly number[], milliseconds: number): Promise<number> {
        let allowed = 0;
        for (let passed = 0; passed < milliseconds; passed += 50) {
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
const start = async () => {
    fleet = new FakeFleet();
    await Promise.all(fleet.limits.map(limits => limits.start()));
};
afterEach(async () => {
    await Promise.all(fleet.limits.map(limits => limits.stop()));
});

describe("CustomerLimits", () => {
    test("holds the limit over all routers while demand is even, skewed, or moves", async () => {
        await start();
        const even = Array<number>(routers).fill(4_000);
        const skewed = even.map((_rate, index) => index === 0 ? 40_000 : 1_000);
        const moved = [...skewed].reverse();
        for (const rates of [even, skewed, moved]) {
            // Demand starts or moves everywhere at once: the burst and the old shares bound what is let through.
            expect(await fleet.offer(rates, 6_000)).toBeLessThanOrEqual(6 * 10_000 * 1.1 + 10_000);
            const steady = await fleet.offer(rates, 10_000);
            expect(steady).toBeLessThanOrEqual(10 * 10_000 * 1.05);
            expect(steady).toBeGreaterThanOrEqual(10 * 10_000 * 0.9);
        }
    });

    test("lets the whole limit be spent at one router", async () => {
        await start();
        const rates = Array<number>(routers).fill(0);
        rates[3] = 20_000;
        await fleet.offer(rates, 5_000);
        const allowed = await fleet.offer(rates, 10_000);
        expect(allowed).toBeGreaterThan(95_000);
        expect(allowed).toBeLessThan(105_000);
    });

    test("takes what was used beyond the estimate out of later requests", async () => {
        await start();
        const [limits] = fleet.limits;
        expect(limits!.tryTake(customer, 10).allowed).toBe(true);
        limits!.correct(customer, 5_000);
        const refused = limits!.tryTake(customer, 10);
        expect(refused.allowed).toBe(false);
        expect(refused.retryAfterSeconds).toBeGreaterThanOrEqual(5);
    });
});
