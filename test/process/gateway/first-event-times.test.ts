import { expect, test } from "@jest/globals";
import { FirstEventLatency } from "../../../src/process/gateway/first-event-times.js";

test("the upper bound exceeds steady latencies, and follows a rise within ten samples", () => {
    const times = new FirstEventLatency();
    expect(times.upperBound("pool")).toBeUndefined();
    for (let count = 0; count < 60; count++) {
        times.record("pool", count % 2 === 0 ? 50 : 70);
    }
    const steadyBound = times.upperBound("pool")!;
    expect(steadyBound).toBeGreaterThan(70);
    expect(steadyBound).toBeLessThan(150);
    for (let count = 0; count < 10; count++) {
        times.record("pool", 600);
    }
    expect(times.upperBound("pool")!).toBeGreaterThan(600);
    expect(times.upperBound("other")).toBeUndefined();
});

test("a few streams that are abandoned at the minimum time limit raise the upper bound above it", () => {
    const times = new FirstEventLatency();
    for (let count = 0; count < 60; count++) {
        times.record("pool", 55);
    }
    for (let count = 0; count < 4; count++) {
        times.record("pool", 275);
    }
    expect(times.upperBound("pool")!).toBeGreaterThan(275);
});
