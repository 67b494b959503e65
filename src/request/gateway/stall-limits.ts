/** Which pauses of a stream matter: well inside the route's longest pause on time, and inside its caller's patience. */
import type { GatewayRoute } from "../../domain/gateway/configuration.js";
import type { StallLimits } from "./stall-watch.js";

/** For routes that state no longest pause; the users' sheets state 200 and 250 ms. */
const defaultEventGapMilliseconds = 200;
/** Leaves two thirds of the longest pause for the check and for reading the prompt elsewhere. */
const quietShare = 0.35;
/** Callers abandon a stream after a gap of 2 s. */
const stalledMilliseconds = 1_000;
/** First events come within a fifth of the target on a calm day. */
const firstQuietShare = 0.3;
/** Leaves almost half of the target for a new run, whose first event takes a fifth of it on a calm day. */
const leastFirstStalledShare = 0.55;
/** Callers wait four times the target for the first event. */
const mostFirstStalledShare = 1.6;

/** The upper bound is a time that hardly any first event exceeds lately, in milliseconds. */
export function stallLimits(route: GatewayRoute, firstEventUpperBound: number | undefined): StallLimits {
    const gap = route.eventGapMilliseconds ?? defaultEventGapMilliseconds;
    const target = route.targetLatencyMilliseconds;
    const most = mostFirstStalledShare * target;
    const least = leastFirstStalledShare * target;
    return {
        quietMilliseconds: gap * quietShare,
        stalledMilliseconds,
        firstQuietMilliseconds: target * firstQuietShare,
        firstStalledMilliseconds: Math.min(most, Math.max(least, firstEventUpperBound ?? most)),
    };
}
