import { expect, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import { backoffMilliseconds } from "../../../src/request/retry/backoff.js";

test("backoff grows exponentially up to its maximum, with jitter", () => {
    const random = new SeededRandom(3);
    for (let retry = 0; retry < 12; retry++) {
        const ceiling = Math.min(1_000, 20 * 2 ** retry);
        const waits = Array.from({ length: 50 }, () => backoffMilliseconds(retry, random));
        expect(Math.min(...waits)).toBeGreaterThanOrEqual(ceiling / 4);
        expect(Math.max(...waits)).toBeLessThanOrEqual(ceiling);
        expect(new Set(waits).size).toBeGreaterThan(40);
    }
});
