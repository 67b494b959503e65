import { expect, jest, test } from "@jest/globals";
import { monotonicNow } from "../../../src/common/clock.js";
import { ShutdownGrace } from "../../../src/process/gateway/shutdown-grace.js";

test("before a shutdown, every request may start", () => {
    expect(new ShutdownGrace().allowsStart(Infinity)).toBe(true);
});

test("late in the grace period, only requests that end before it does may start", () => {
    const grace = new ShutdownGrace();
    grace.begin(10_000);
    const end = monotonicNow() + 10_000;
    expect(grace.allowsStart(Infinity)).toBe(true);
    jest.advanceTimersByTime(2_400);
    expect(grace.allowsStart(Infinity)).toBe(true);
    jest.advanceTimersByTime(200);
    expect(grace.allowsStart(Infinity)).toBe(false);
    expect(grace.allowsStart(end + 1)).toBe(false);
    expect(grace.allowsStart(end - 1)).toBe(true);
});

test("in a short grace period, requests of any length may start during its first half only", () => {
    const grace = new ShutdownGrace();
    grace.begin(2_000);
    jest.advanceTimersByTime(900);
    expect(grace.allowsStart(Infinity)).toBe(true);
    jest.advanceTimersByTime(200);
    expect(grace.allowsStart(Infinity)).toBe(false);
});
