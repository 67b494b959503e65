import { beforeEach, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { ServerExclusions } from "../../../src/process/gateway/server-suspicions.js";

let suspicions: ServerExclusions;

beforeEach(() => {
    suspicions = new ServerExclusions(new SilentLogger());
});

test("each consecutive failure doubles the exclusion, and a success ends it", () => {
    suspicions.recordFailure("a", "broken");
    jest.advanceTimersByTime(1_001);
    expect(suspicions.isExcluded("a")).toBe(false);
    suspicions.recordFailure("a", "broken");
    jest.advanceTimersByTime(1_500);
    expect(suspicions.isExcluded("a")).toBe(true);
    suspicions.recordSuccess("a");
    expect(suspicions.isExcluded("a")).toBe(false);
});

test("a server at capacity that completes other requests is excluded for 300 ms at each refusal", () => {
    for (let count = 0; count < 10; count++) {
        suspicions.recordRefusal("a", "status 503");
        expect(suspicions.isExcluded("a")).toBe(true);
        jest.advanceTimersByTime(301);
        expect(suspicions.isExcluded("a")).toBe(false);
        suspicions.recordSuccess("a");
    }
});

test("each refusal without a success in between doubles the exclusion", () => {
    for (const backoff of [300, 600, 1_200, 2_400]) {
        suspicions.recordRefusal("a", "status 503");
        jest.advanceTimersByTime(backoff - 10);
        expect(suspicions.isExcluded("a")).toBe(true);
        jest.advanceTimersByTime(11);
        expect(suspicions.isExcluded("a")).toBe(false);
    }
});

test("a refusal does not shorten the exclusion after a failure", () => {
    suspicions.recordFailure("a", "broken");
    suspicions.recordRefusal("a", "status 503");
    jest.advanceTimersByTime(900);
    expect(suspicions.isExcluded("a")).toBe(true);
});
