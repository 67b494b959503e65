import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { FairShares, ProportionalShares } from "../../../src/process/customer-shares/weighted-shares.js";

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
const demands = fc.array(
    fc.record({ demand: fc.integer({ min: 0, max: 10_000 }), weight: fc.integer({ min: 1, max: 20 }) }),
    { minLength: 1, maxLength: 40 },
);

describe("FairShares", () => {
    test("meets small demands in full and gives the rest to the others by weight", () => {
        const shares = new FairShares().divide([
            { demand: 1_000, weight: 1 },
            { demand: 10, weight: 1 },
            { demand: 900, weight: 2 },
        ], 310);
        expect(shares).toEqual([100, 10, 200]);
    });

    test("a storm lowers no share of those below the fair level, where the baseline lowers all", () => {
        const calm = [{ demand: 40, weight: 1 }, { demand: 40, weight: 1 }];
        const storm = [{ demand: 4_000, weight: 1 }, { demand: 40, weight: 1 }];
        expect(new FairShares().divide(storm, 100)[1]).toBe(new FairShares().divide(calm, 100)[1]);
        expect(new ProportionalShares().divide(storm, 100)[1]).toBeLessThan(1);
    });

    test("gives out all of the capacity or meets all demands, and leaves nobody above its share while another is below", () => {
        fc.assert(
            fc.property(demands, fc.integer({ min: 0, max: 100_000 }), (wanted, capacity) => {
                const shares = new FairShares().divide(wanted, capacity);
                const total = sum(wanted.map(({ demand }) => demand));
                expect(sum(shares)).toBeCloseTo(Math.min(capacity, total), 3);
                const level = Math.max(...shares.map((share, index) => share / wanted[index]!.weight));
                shares.forEach((share, index) => {
                    const { demand, weight } = wanted[index]!;
                    expect(share).toBeLessThanOrEqual(demand);
                    expect(share === demand || share / weight >= level - 1e-6).toBe(true);
                });
            }),
            { seed: 3, numRuns: 500 },
        );
    });

    test("gives nothing of no capacity", () => {
        const wanted = [{ demand: 5, weight: 1 }];
        expect(new FairShares().divide(wanted, 0)).toEqual([0]);
        expect(new FairShares().divide(wanted, -3)).toEqual([0]);
        expect(new ProportionalShares().divide(wanted, -3)).toEqual([0]);
    });
});
