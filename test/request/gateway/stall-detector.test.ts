import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { StallDetector } from "../../../src/request/gateway/stall-detector.js";
import { boundary } from "../../support/failures.js";

const limits = {
    quietThresholdMilliseconds: 90,
    lateAfterQuietMilliseconds: 160,
    stallTimeoutMilliseconds: 1_000,
    firstEventQuietThresholdMilliseconds: 150,
    firstEventStallTimeoutMilliseconds: 800,
};
let seen: string[];
let detector: StallDetector;

beforeEach(() => {
    seen = [];
    detector = new StallDetector(
        limits,
        { quiet: () => seen.push("quiet"), stalled: () => seen.push("stalled") },
        boundary,
    );
});

afterEach(() => detector.stop());

test("reports a late first event once as quiet and once as stalled", () => {
    jest.advanceTimersByTime(149);
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(1);
    expect(seen).toEqual(["quiet"]);
    jest.advanceTimersByTime(650);
    expect(seen).toEqual(["quiet", "stalled"]);
});

test("reports nothing for steady events, and quiet for a pause after them", () => {
    for (let count = 0; count < 50; count++) {
        jest.advanceTimersByTime(40);
        detector.recordProgress();
    }
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(130);
    expect(seen).toEqual(["quiet"]);
});

test("scales the quiet threshold with the average gap of a slow stream", () => {
    for (let count = 0; count < 50; count++) {
        jest.advanceTimersByTime(80);
        detector.recordProgress();
    }
    jest.advanceTimersByTime(150);
    expect(seen).toEqual([]);
    jest.advanceTimersByTime(20);
    expect(seen).toEqual(["quiet"]);
});

test("reports nothing while the caller does not read, nor after being stopped", () => {
    detector.recordProgress();
    detector.suspend();
    jest.advanceTimersByTime(5_000);
    detector.recordProgress();
    detector.stop();
    jest.advanceTimersByTime(5_000);
    expect(seen).toEqual([]);
});
