/** Replays streams whose first event is late on a part of the servers, and on all of them. */
import { describe, expect, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import { FirstEventLatency } from "../../../src/process/gateway/first-event-latency.js";
import { computeStallLimits } from "../../../src/request/gateway/stall-limits.js";
import { gatewayRoute } from "../../process/gateway/fixtures.js";

const targetLatency = 500;
const route = { ...gatewayRoute({ resumable: true }), targetLatencyMilliseconds: targetLatency };
const usualMilliseconds = 100;
const streams = 1_000;

/** The decision before: the timeout follows the latencies alone. */
const withoutTypical = (latency: FirstEventLatency) => ({
    upperBound: (service: string) => latency.upperBound(service),
    typical: () => undefined,
});

interface Replay {
    readonly late: number;
    readonly newRuns: number;
}

/**
 * Each stream draws whether its server is in trouble; a new run goes to another server, drawn anew. `hasReserve` is told
 * how many of the last hundred streams have had a new run.
 */
function replay(
    troubledShare: number,
    troubledMilliseconds: number,
    followsTypical: boolean,
    hasReserve: (newRunsOfHundred: number) => boolean = () => true,
): Replay {
    const random = new SeededRandom(20261206);
    const latency = new FirstEventLatency();
    const drawLatency = () =>
        (random.next() < troubledShare ? troubledMilliseconds : usualMilliseconds) * (0.8 + 0.4 * random.next());
    for (let count = 0; count < 100; count++) {
        latency.record("pool", usualMilliseconds);
    }
    const ran: boolean[] = [];
    let late = 0;
    for (let count = 0; count < streams; count++) {
        const reserve = hasReserve(ran.slice(-100).filter(Boolean).length);
        const { firstEventStallTimeoutMilliseconds: stall } = computeStallLimits(route, "pool", {
            firstEvents: followsTypical ? latency : withoutTypical(latency),
            retries: { hasReserve: () => reserve },
        });
        const first = drawLatency();
        const rival = first > stall ? stall + drawLatency() : Infinity;
        ran.push(first > stall);
        late += Number(Math.min(first, rival) > targetLatency);
        latency.record("pool", Math.min(first, rival));
    }
    return { late, newRuns: ran.filter(Boolean).length };
}

describe("a new run beside a stream without its first event", () => {
    test("still meets the target latency while a part of the servers is in trouble", () => {
        const baseline = replay(0.2, 900, false);
        const { late } = replay(0.2, 900, true);
        expect(baseline.late).toBeGreaterThan(0.15 * streams);
        expect(late).toBeLessThan(0.06 * streams);
    });

    test("is not started more often while all first events are late, since it would be late too", () => {
        const baseline = replay(1, 600, false);
        const counts = replay(1, 600, true);
        expect(counts.newRuns).toBeLessThanOrEqual(baseline.newRuns + 0.03 * streams);
    });

    test("leaves half of the budget while a third of the streams stall at once", () => {
        const { newRuns } = replay(1 / 3, 700, true, newRunsOfHundred => newRunsOfHundred < 10);
        expect(newRuns).toBeLessThan(0.12 * streams);
    });
});
