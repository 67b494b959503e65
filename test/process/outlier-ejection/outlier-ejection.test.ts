import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { OutlierEjection } from "../../../src/process/outlier-ejection/outlier-ejection.js";

const pool = ["a", "b", "c", "d", "e"];
let ejection: OutlierEjection;
const fail = (backendServer: string, times: number) => {
    for (let time = 0; time < times; time++) {
        ejection.recordFailure(backendServer, "broken");
    }
};

describe("OutlierEjection", () => {
    beforeEach(() => {
        ejection = new OutlierEjection(
            { poolOf: () => pool },
            () => undefined,
            new SilentLogger(),
            new SilentMetrics(),
        );
    });

    test("ejects after failures in a row and takes the server back after a time", async () => {
        fail("a", 2);
        ejection.recordSuccess("a");
        fail("a", 2);
        expect([...ejection.ejected()]).toEqual([]);
        fail("a", 1);
        expect([...ejection.ejected()]).toEqual(["a"]);
        await jest.advanceTimersByTimeAsync(5_001);
        expect([...ejection.ejected()]).toEqual([]);
    });

    test("ejects again at once, and for longer, when the server fails on its return", async () => {
        fail("a", 3);
        await jest.advanceTimersByTimeAsync(5_001);
        fail("a", 1);
        await jest.advanceTimersByTimeAsync(9_000);
        expect([...ejection.ejected()]).toEqual(["a"]);
        await jest.advanceTimersByTimeAsync(1_001);
        expect([...ejection.ejected()]).toEqual([]);
    });

    test("never ejects more than its share of a pool", () => {
        pool.forEach(backendServer => fail(backendServer, 5));
        expect(ejection.ejected().size).toBe(2);
    });
});
