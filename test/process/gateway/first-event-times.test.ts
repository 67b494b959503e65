import { expect, test } from "@jest/globals";
import { FirstEventTimes } from "../../../src/process/gateway/first-event-times.js";

test("the bound lies above steady times, and rises soon with them", () => {
    const times = new FirstEventTimes();
    expect(times.upperBound("pool")).toBeUndefined();
    for (let count = 0; count < 60; count++) {
        times.note("pool", count % 2 === 0 ? 50 : 70);
    }
    const calm = times.upperBound("pool")!;
    expect(calm).toBeGreaterThan(70);
    expect(calm).toBeLessThan(150);
    for (let count = 0; count < 10; count++) {
        times.note("pool", 600);
    }
    expect(times.upperBound("pool")!).toBeGreaterThan(600);
    expect(times.upperBound("other")).toBeUndefined();
});

test("a few streams that are given up after the least limit raise the bound above it", () => {
    const times = new FirstEventTimes();
    for (let count = 0; count < 60; count++) {
        times.note("pool", 55);
    }
    for (let count = 0; count < 4; count++) {
        times.note("pool", 275);
    }
    expect(times.upperBound("pool")!).toBeGreaterThan(275);
});
