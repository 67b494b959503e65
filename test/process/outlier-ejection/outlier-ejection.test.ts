import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { OutlierEjection } from "../../../src/process/outlier-ejection/outlier-ejection.js";

const pool = ["a", "b", "c", "d", "e"];
let ejection: OutlierEjection;
const recordFailures = (backendServer: string, times: number) => {
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

    test("ejects a server after consecutive failures until the ejection period ends", async () => {
        recordFailures("a", 2);
        ejection.recordSuccess("a");
        recordFailures("a", 2);
        expect([...ejection.ejected()]).toEqual([]);
        recordFailures("a", 1);
        expect([...ejection.ejected()]).toEqual(["a"]);
        await jest.advanceTimersByTimeAsync(5_001);
        expect([...ejection.ejected()]).toEqual([]);
    });

    test("ejects a server again for longer after a single failure following its return", async () => {
        recordFailures("a", 3);
        await jest.advanceTimersByTimeAsync(5_001);
        recordFailures("a", 1);
        await jest.advanceTimersByTimeAsync(9_000);
        expect([...ejection.ejected()]).toEqual(["a"]);
        await jest.advanceTimersByTimeAsync(1_001);
        expect([...ejection.ejected()]).toEqual([]);
    });

    test("never ejects more than the maximum share of a pool", () => {
        pool.forEach(backendServer => recordFailures(backendServer, 5));
        expect(ejection.ejected().size).toBe(2);
    });
});
