import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { monotonicNow } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { ServerSlowdowns } from "../../../src/process/gateway/server-slowdowns.js";

let slowdowns: ServerSlowdowns;

const reading = (factor: number, ageMilliseconds: number) => new Map([["a", { factor, ageMilliseconds }]]);

beforeEach(() => {
    slowdowns = new ServerSlowdowns(new SilentMetrics(), new SilentLogger());
});

describe("what a router knows of a slow engine", () => {
    test("is nothing before it has been told", () => {
        expect(slowdowns.factor("a")).toBe(1);
        expect(slowdowns.published.size).toBe(0);
    });

    test("ends by itself if nobody confirms it", () => {
        slowdowns.record("a", 12, monotonicNow());
        jest.advanceTimersByTime(1_900);
        expect(slowdowns.factor("a")).toBe(12);
        jest.advanceTimersByTime(200);
        expect(slowdowns.factor("a")).toBe(1);
    });

    test("ends in time though two routers pass it to each other, also late or twice", () => {
        const other = new ServerSlowdowns(new SilentMetrics(), new SilentLogger());
        slowdowns.record("a", 12, monotonicNow());
        const early = slowdowns.published;
        for (let time = 0; time < 2_500; time += 250) {
            other.apply(slowdowns.published);
            slowdowns.apply(other.published);
            jest.advanceTimersByTime(250);
        }
        expect(slowdowns.factor("a")).toBe(1);
        expect(other.factor("a")).toBe(1);
        other.apply(reading(12, 2_500));
        expect(other.factor("a")).toBe(1);
        expect(early.size).toBe(1);
    });

    test("is not replaced by an older statement", () => {
        jest.advanceTimersByTime(5_000);
        slowdowns.record("a", 1, monotonicNow());
        slowdowns.apply(reading(12, 800));
        expect(slowdowns.factor("a")).toBe(1);
        jest.advanceTimersByTime(1_000);
        slowdowns.apply(reading(12, 800));
        expect(slowdowns.factor("a")).toBe(12);
    });

    test("is bounded, whatever a peer claims", () => {
        slowdowns.apply(reading(1e9, 0));
        expect(slowdowns.factor("a")).toBe(100);
        slowdowns.apply(
            new Map(
                Array.from(
                    { length: 1_000 },
                    (_value, index) => [`e${index}`, { factor: 2, ageMilliseconds: 1 }] as const,
                ),
            ),
        );
        expect(slowdowns.published.size).toBeLessThanOrEqual(64);
    });
});
