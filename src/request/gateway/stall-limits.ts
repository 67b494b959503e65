/**
 * Computes the stall limits of a stream: quiet thresholds well below the route's maximum event gap and target latency,
 * and stall timeouts below the time after which callers abandon the stream.
 */
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
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

/**
 * `firstEventUpperBound` is the time in milliseconds that hardly any recent first event of the service has exceeded;
 * undefined if none has been measured.
 */
export function computeStallLimits(route: GatewayRoute, firstEventUpperBound: number | undefined): StallLimits {
    const maximumEventGap = route.maximumEventGapMilliseconds ?? defaultMaximumEventGapMilliseconds;
    const targetLatency = route.targetLatencyMilliseconds;
    const maximumStallTimeout = maximumFirstEventStallShare * targetLatency;
    const minimumStallTimeout = minimumFirstEventStallShare * targetLatency;
    return {
        quietThresholdMilliseconds: maximumEventGap * quietThresholdShare,
        stallTimeoutMilliseconds,
        firstEventQuietThresholdMilliseconds: targetLatency * firstEventQuietThresholdShare,
        firstEventStallTimeoutMilliseconds: Math.min(
            maximumStallTimeout,
            Math.max(minimumStallTimeout, firstEventUpperBound ?? maximumStallTimeout),
        ),
    };
}
