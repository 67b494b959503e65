import { expect, test } from "@jest/globals";
import { FirstEventLatency } from "../../../src/process/gateway/first-event-latency.js";

test("the upper bound exceeds steady latencies, and follows a rise within ten samples", () => {
    const latency = new FirstEventLatency();
    expect(latency.upperBound("pool")).toBeUndefined();
    for (let count = 0; count < 60; count++) {
        latency.record("pool", count % 2 === 0 ? 50 : 70);
    }
    const steadyBound = latency.upperBound("pool")!;
    expect(steadyBound).toBeGreaterThan(70);
    expect(steadyBound).toBeLessThan(150);
    for (let count = 0; count < 10; count++) {
        latency.record("pool", 600);
    }
    expect(latency.upperBound("pool")!).toBeGreaterThan(600);
    expect(latency.upperBound("other")).toBeUndefined();
});

test("a few streams that are abandoned at the minimum time limit raise the upper bound above it", () => {
    const latency = new FirstEventLatency();
    for (let count = 0; count < 60; count++) {
        latency.record("pool", 55);
    }
    for (let count = 0; count < 4; count++) {
        latency.record("pool", 275);
    }
    expect(latency.upperBound("pool")!).toBeGreaterThan(275);
});
