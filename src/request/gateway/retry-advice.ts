/**
 * Decides when a caller whose request has not run should send it again. Answers the load pattern of many requests that are
 * refused at the same moment, after a loss of engines or at a peak: told the same time, all callers would come back
 * together and be refused once more.
 */
import type { RandomSource } from "../../common/random.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RequestSize } from "./layer-path-finder.js";

export interface Refusal {
    /** Time after which room for the request is expected. */
    readonly expectedMilliseconds: number;
    /** Time for which no backend server accepts the request, by their own statement; 0 if they have made none. */
    readonly unavailableMilliseconds?: number;
    /** Time until the caller's deadline. */
    readonly remainingMilliseconds: number;
}

export interface RetryAdvice {
    /** Seconds until the caller should send the request again. */
    retryAfterSeconds(refusal: Refusal): number;
}

/** Baseline: the same time for every caller, whatever is expected. */
export class ConstantRetryAdvice implements RetryAdvice {
    constructor(private readonly seconds: number) {}

    retryAfterSeconds(): number {
        return this.seconds;
    }
}

/** Callers come back during this share of the expected time, after it has passed. */
const spreadShare = 0.5;
/** Callers wait for a third of their remaining time at most (the platform's description of its callers). */
const maximumShareOfRemainingTime = 1 / 3;
/** Callers for whom room is expected too late come back during this last share of their longest wait. */
const spreadShareOfLongestWait = 0.25;
const millisecondsPerSecond = 1_000;

/**
 * Spreads callers over a time that begins when room is expected, as far as their deadlines allow, but never before the
 * servers accept requests again.
 */
export class SpreadRetryAdvice implements RetryAdvice {
    constructor(private readonly random: RandomSource) {}

    retryAfterSeconds(
        { expectedMilliseconds, unavailableMilliseconds = 0, remainingMilliseconds }: Refusal,
    ): number {
        const longest = Math.max(0, remainingMilliseconds) * maximumShareOfRemainingTime;
        const latest = Math.min(longest, expectedMilliseconds * (1 + spreadShare));
        const earliest = Math.min(expectedMilliseconds, latest * (1 - spreadShareOfLongestWait));
        const spread = this.random.next();
        const milliseconds = Math.max(
            earliest + spread * (latest - earliest),
            unavailableMilliseconds * (1 + spread * spreadShare),
        );
        return Math.ceil(milliseconds) / millisecondsPerSecond;
    }
}

/** From the loss of an engine until another one has begun to load its layers: two failed reports, and the order. */
const repairReactionMilliseconds = 1_000;

/** Expected time until lost layers are loaded again; engines load their parts of the gap at the same time. */
export function expectReloadMilliseconds(engine: EngineProfile, largestGap: number, layersPerEngine: number): number {
    const loadedByOne = Math.min(largestGap, layersPerEngine);
    return repairReactionMilliseconds
        + engine.loadSeconds * millisecondsPerSecond * loadedByOne / engine.layerCount;
}

/**
 * Expected time until a full path has room again: requests end evenly over the duration of one, so a quarter of the
 * memory is free after a quarter of it.
 */
export function expectRoomMilliseconds(engine: EngineProfile, size: RequestSize): number {
    const kinds = [...engine.kinds.values()];
    const meanStepFactor = kinds.reduce((sum, { stepFactor }) => sum + stepFactor, 0) / Math.max(1, kinds.length);
    const durationMilliseconds = size.outputTokens * engine.stepMilliseconds * meanStepFactor;
    return durationMilliseconds / 4;
}
