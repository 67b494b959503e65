/**
 * Computes the stall limits of a stream: quiet thresholds well below the route's maximum event gap and target latency,
 * and stall timeouts below the time after which callers abandon the stream.
 *
 * The stall timeout of the first event answers two load patterns. Where all first events are late, a new run would be late
 * too and add to the load, so the timeout follows the latencies. Where a part of the servers is in trouble and the typical
 * first event still comes early, a timeout that follows the late ones starts new runs too late to be of use: it then ends
 * while a new run can still meet the target latency.
 */
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { FirstEventLatency } from "../../process/gateway/first-event-latency.js";
import type { WindowedRetryBudget } from "../../process/gateway/windowed-retry-budget.js";
import type { StallLimits } from "./stall-detector.js";

/** For routes without a configured event gap; the users' configuration sheets state 200 and 250 ms. */
const defaultMaximumEventGapMilliseconds = 200;
/** Leaves two thirds of the maximum event gap for the reachability check and for a prefill on another path. */
const quietThresholdShare = 0.35;
/** Half of the shortest gap after which callers abandon a stream. */
const stallTimeoutMilliseconds = 1_000;
/** Under light load, first events arrive within a fifth of the target latency. */
const firstEventQuietThresholdShare = 0.3;
/** Leaves almost half of the target latency for a new run, whose first event takes a fifth of it under light load. */
const minimumFirstEventStallShare = 0.55;
/** Callers wait for the first event for four times the target latency. */
const maximumFirstEventStallShare = 1.6;

/** A new run that has this many times the typical latency left meets the target in most cases. */
const newRunLatencyMultiple = 2;

/** Callers abandon a stream after a gap without events of this length, or of these multiples, whichever is longest. */
const minimumPatienceMilliseconds = 2_000;
const patienceInTargetLatencies = 4;
const patienceInEventGaps = 8;

/** Time without an event after which callers abandon a stream of the route, in milliseconds. */
export function callerPatienceMilliseconds(route: GatewayRoute): number {
    return Math.max(
        minimumPatienceMilliseconds,
        patienceInTargetLatencies * route.targetLatencyMilliseconds,
        patienceInEventGaps * (route.maximumEventGapMilliseconds ?? 0),
    );
}

export interface StallLimitSources {
    readonly firstEvents: Pick<FirstEventLatency, "upperBound" | "typical">;
    /** New runs that only save time are left to others while the budget has no reserve. */
    readonly retries: Pick<WindowedRetryBudget, "hasReserve">;
}

export function computeStallLimits(
    route: GatewayRoute,
    service: string,
    { firstEvents, retries }: StallLimitSources,
): StallLimits {
    const maximumEventGap = route.maximumEventGapMilliseconds ?? defaultMaximumEventGapMilliseconds;
    const targetLatency = route.targetLatencyMilliseconds;
    const minimumStallTimeout = minimumFirstEventStallShare * targetLatency;
    const typicalLatency = retries.hasReserve(service) ? firstEvents.typical(service) : undefined;
    const maximumStallTimeout = latestUsefulStall(targetLatency, minimumStallTimeout, typicalLatency)
        ?? maximumFirstEventStallShare * targetLatency;
    return {
        quietThresholdMilliseconds: maximumEventGap * quietThresholdShare,
        lateAfterQuietMilliseconds: maximumEventGap * (1 - quietThresholdShare),
        stallTimeoutMilliseconds,
        firstEventQuietThresholdMilliseconds: targetLatency * firstEventQuietThresholdShare,
        firstEventStallTimeoutMilliseconds: Math.min(
            maximumStallTimeout,
            Math.max(minimumStallTimeout, firstEvents.upperBound(service) ?? maximumStallTimeout),
        ),
    };
}

/** Undefined if a new run after the minimum stall timeout would typically miss the target latency. */
function latestUsefulStall(
    targetLatency: number,
    minimumStallTimeout: number,
    typicalLatency: number | undefined,
): number | undefined {
    return typicalLatency === undefined || minimumStallTimeout + typicalLatency > targetLatency
        ? undefined
        : Math.max(minimumStallTimeout, targetLatency - newRunLatencyMultiple * typicalLatency);
}
