/** Replays many requests that are refused at the same moment. */
import { describe, expect, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import {
    ConstantRetryAdvice,
    expectReloadMilliseconds,
    expectRoomMilliseconds,
    type RetryAdvice,
    SpreadRetryAdvice,
} from "../../../src/request/gateway/retry-advice.js";
import { simulatedEngineProfile } from "../../../src/stand-ins/engine-fleet/sample-fleets.js";

const refusedTotal = 1_000;
const remainingMilliseconds = 20_000;

/** Largest share of the callers that come back within the same 100 ms. */
function returnPeak(advice: RetryAdvice, expectedMilliseconds: number): number {
    const returns = new Map<number, number>();
    for (let caller = 0; caller < refusedTotal; caller++) {
        const seconds = advice.retryAfterSeconds({ expectedMilliseconds, remainingMilliseconds });
        const slot = Math.floor(seconds * 10);
        returns.set(slot, (returns.get(slot) ?? 0) + 1);
    }
    return Math.max(...returns.values()) / refusedTotal;
}

describe("SpreadRetryAdvice", () => {
    const advice = new SpreadRetryAdvice(new SeededRandom(20261204));

    test("callers refused at the same moment do not come back together", () => {
        // Requests that wait for a reload come back over more than a second, so no tenth of a second gets a fifth.
        expect(returnPeak(advice, 2_600)).toBeLessThan(0.2);
        expect(returnPeak(new ConstantRetryAdvice(2), 2_600)).toBe(1);
    });

    test.each([
        ["room is expected soon", 400, 20_000],
        ["room is expected after the caller's longest wait", 30_000, 6_000],
        ["the deadline is near", 2_000, 90],
    ])("%s: no caller comes back early without need, or later than it can wait", (_title, expected, remaining) => {
        const longest = remaining / 3;
        for (let caller = 0; caller < 100; caller++) {
            const milliseconds = 1_000 * advice.retryAfterSeconds({
                expectedMilliseconds: expected,
                remainingMilliseconds: remaining,
            });
            expect(milliseconds).toBeLessThanOrEqual(longest + 1);
            expect(milliseconds).toBeGreaterThanOrEqual(Math.min(expected, 0.75 * longest) - 1);
        }
    });

    test("no caller comes back before servers accept requests, also if it can not wait so long", () => {
        for (let caller = 0; caller < 100; caller++) {
            for (const [expected, unavailable] of [[400, 2_000], [2_000, 300]] as const) {
                const milliseconds = 1_000 * advice.retryAfterSeconds({
                    expectedMilliseconds: expected,
                    unavailableMilliseconds: unavailable,
                    remainingMilliseconds: 900,
                });
                expect(milliseconds).toBeGreaterThanOrEqual(unavailable === 2_000 ? 2_000 : 225);
            }
        }
    });

    test("a caller whose deadline has passed is not told to wait", () => {
        expect(advice.retryAfterSeconds({ expectedMilliseconds: 500, remainingMilliseconds: -5 })).toBe(0);
    });
});

test("lost layers are expected back once the largest part of one engine is loaded", () => {
    const small = expectReloadMilliseconds(simulatedEngineProfile, 6, 9);
    expect(expectReloadMilliseconds(simulatedEngineProfile, 9, 9)).toBeGreaterThan(small);
    expect(expectReloadMilliseconds(simulatedEngineProfile, 80, 9)).toBe(
        expectReloadMilliseconds(simulatedEngineProfile, 9, 9),
    );
});

test("room on full engines is expected within the time of one answer", () => {
    const milliseconds = expectRoomMilliseconds(simulatedEngineProfile, { promptTokens: 770, outputTokens: 175 });
    expect(milliseconds).toBeGreaterThan(0);
    expect(milliseconds).toBeLessThan(simulatedEngineProfile.loadSeconds * 1_000);
});
