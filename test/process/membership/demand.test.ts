import { afterEach, describe, expect, jest, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import { DemandAverager } from "../../../src/process/membership/demand-averager.js";
import { dequantize, quantize } from "../../../src/process/membership/quantize.js";
import { RouterFleet } from "../../support/routers.js";

let fleet = new RouterFleet();
afterEach(() => fleet.stop());

const customers = Array.from({ length: 50 }, (_unused, index) => `customer-${index}`);

/** The largest relative error of any router's estimate of the fleet's demand, over all customers. */
function largestRelativeError(totals: ReadonlyMap<string, number>): number {
    const errors = fleet.nodes.flatMap(node =>
        [...totals].map(([customer, total]) => Math.abs(node.membership.fleetDemand(customer) - total) / total)
    );
    return Math.max(...errors);
}

function reportRandomDemand(seed: number): Map<string, number> {
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

describe("customers' demand averaging", () => {
    test("every router's estimate converges, follows changes, and recovers after a router's death", async () => {
        fleet = new RouterFleet(3);
        await fleet.start(24);
        await jest.advanceTimersByTimeAsync(5_000);
        const totals = reportRandomDemand(1);
        expect(largestRelativeError(totals)).toBeGreaterThan(0.5);
        await jest.advanceTimersByTimeAsync(90_000);
        expect(largestRelativeError(totals)).toBeLessThan(0.15);
        const changedTotals = reportRandomDemand(2);
        await jest.advanceTimersByTimeAsync(90_000);
        expect(largestRelativeError(changedTotals)).toBeLessThan(0.15);
        const dead = fleet.nodes[5]!;
        dead.membership.reportDemand(customers[0]!, 100_000);
        await jest.advanceTimersByTimeAsync(60_000);
        fleet.kill(dead);
        await jest.advanceTimersByTimeAsync(10_000);
        const survivorTotals = reportRandomDemand(4);
        await jest.advanceTimersByTimeAsync(500_000);
        expect(largestRelativeError(survivorTotals)).toBeLessThan(0.15);
    });

    test("an exchange preserves the sum even if another exchange happens between request and reply", () => {
        const settings = { demandEpochMilliseconds: 1e9, demandConvergenceMilliseconds: 0 };
        const [first, second, third] = [0, 1, 2].map(() => new DemandAverager(settings)) as [
            DemandAverager,
            DemandAverager,
            DemandAverager,
        ];
        first.setOwnDemand("a", 1_000);
        second.setOwnDemand("a", 40);
        third.setOwnDemand("a", 7);
        const request = first.createRequest()!;
        const reply = second.handleRequest(request);
        first.handleRequest(third.createRequest()!);
        first.handleReply(request, reply);
        second.setOwnDemand("a", 50);
        const sum = first.mean("a") + second.mean("a");
        expect(sum).toBeCloseTo(520 + 520 + 10 - (1_000 - 7) / 2, -1);
    });

    test("a router that joins adopts the later epoch, and values of an older epoch are not averaged", () => {
        const settings = { demandEpochMilliseconds: 1_000, demandConvergenceMilliseconds: 100 };
        const old = new DemandAverager(settings);
        old.setOwnDemand("a", 100);
        jest.advanceTimersByTime(1_500);
        const request = old.createRequest()!;
        expect(request.epoch).toBe(1);
        const joined = new DemandAverager(settings);
        joined.setOwnDemand("a", 300);
        const stale = joined.createRequest()!;
        expect(old.handleRequest(stale).epoch).toBe(1);
        expect(old.mean("a")).toBe(100);
        old.handleReply(request, joined.handleRequest(request));
        expect(joined.mean("a")).toBeCloseTo(200, 0);
        expect(old.mean("a")).toBeCloseTo(200, 0);
    });

    test("quantization has a relative error of at most 1/900 and keeps the sign", () => {
        for (const value of [0, 0.5, 3, 1_234, 950_000, -20]) {
            expect(Math.abs(dequantize(quantize(value)) - value)).toBeLessThanOrEqual(Math.abs(value) / 900 + 1e-4);
        }
    });
});
