import { afterEach, describe, expect, jest, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import { DemandAverage } from "../../../src/process/membership/demand-average.js";
import { dequantize, quantize } from "../../../src/process/membership/quantize.js";
import { RouterFleet } from "../../support/routers.js";

let fleet = new RouterFleet();
afterEach(() => fleet.stop());

const customers = Array.from({ length: 50 }, (_unused, index) => `customer-${index}`);

/** The largest relative error of any router's estimate of any large customer. */
function largestError(totals: ReadonlyMap<string, number>): number {
    const errors = fleet.nodes.flatMap(node =>
        [...totals].map(([customer, total]) => Math.abs(node.membership.fleetDemand(customer) - total) / total)
    );
    return Math.max(...errors);
}

function reportAll(seed: number): Map<string, number> {
    const random = new SeededRandom(seed);
    const totals = new Map<string, number>();
    for (const node of fleet.nodes) {
        for (const customer of customers) {
            const demand = random.next() < 0.3 ? random.next() * 1_000 : 0;
            node.membership.reportDemand(customer, demand);
            totals.set(customer, (totals.get(customer) ?? 0) + demand);
        }
    }
    return totals;
}

describe("demand of customers", () => {
    test("every router's estimate comes near the sum over all, follows changes, and outlives a death", async () => {
        fleet = new RouterFleet(3);
        await fleet.start(24);
        await jest.advanceTimersByTimeAsync(5_000);
        const totals = reportAll(1);
        expect(largestError(totals)).toBeGreaterThan(0.5);
        await jest.advanceTimersByTimeAsync(90_000);
        expect(largestError(totals)).toBeLessThan(0.15);
        const changed = reportAll(2);
        await jest.advanceTimersByTimeAsync(90_000);
        expect(largestError(changed)).toBeLessThan(0.15);
        const dead = fleet.nodes[5]!;
        dead.membership.reportDemand(customers[0]!, 100_000);
        await jest.advanceTimersByTimeAsync(60_000);
        fleet.kill(dead);
        await jest.advanceTimersByTimeAsync(10_000);
        const survivors = reportAll(4);
        await jest.advanceTimersByTimeAsync(500_000);
        expect(largestError(survivors)).toBeLessThan(0.15);
    });

    test("an exchange keeps the sum, also when another comes between request and answer", () => {
        const settings = { demandEpochMilliseconds: 1e9, demandSettleMilliseconds: 0 };
        const [first, second, third] = [0, 1, 2].map(() => new DemandAverage(settings)) as [
            DemandAverage,
            DemandAverage,
            DemandAverage,
        ];
        first.report("a", 1_000);
        second.report("a", 40);
        third.report("a", 7);
        const request = first.nextRequest()!;
        const reply = second.answer(request);
        first.answer(third.nextRequest()!);
        first.settle(request, reply);
        second.report("a", 50);
        const sum = first.mean("a") + second.mean("a");
        expect(sum).toBeCloseTo(520 + 520 + 10 - (1_000 - 7) / 2, -1);
    });

    test("a router that joins in a later epoch follows it, and one in an older epoch is not averaged with", () => {
        const settings = { demandEpochMilliseconds: 1_000, demandSettleMilliseconds: 100 };
        const old = new DemandAverage(settings);
        old.report("a", 100);
        jest.advanceTimersByTime(1_500);
        const request = old.nextRequest()!;
        expect(request.epoch).toBe(1);
        const joined = new DemandAverage(settings);
        joined.report("a", 300);
        const stale = joined.nextRequest()!;
        expect(old.answer(stale).epoch).toBe(1);
        expect(old.mean("a")).toBe(100);
        old.settle(request, joined.answer(request));
        expect(joined.mean("a")).toBeCloseTo(200, 0);
        expect(old.mean("a")).toBeCloseTo(200, 0);
    });

    test("quantized values stay within a thousandth and keep their sign", () => {
        for (const value of [0, 0.5, 3, 1_234, 950_000, -20]) {
            expect(Math.abs(dequantize(quantize(value)) - value)).toBeLessThanOrEqual(Math.abs(value) / 900 + 1e-4);
        }
    });
});
