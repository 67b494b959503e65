/**
 * Detects that a stream makes no progress. A pause that is long for this stream is reported early as quiet, so that its
 * backend servers can be checked; a pause close to the caller's timeout is reported as a stall.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary } from "../../common/failure-boundary.js";

export interface StallLimits {
    /** Shortest pause between events that is reported as quiet, whatever the stream's average gap. */
    readonly quietThresholdMilliseconds: number;
    /** Time beyond the quiet threshold after which the pause is too long for a stream that is on time. */
    readonly lateAfterQuietMilliseconds: number;
    /** Pause between events that is reported as a stall. */
    readonly stallTimeoutMilliseconds: number;
    /** The same limits for the first event, which is delayed by the prefill of the prompt. */
    readonly firstEventQuietThresholdMilliseconds: number;
    readonly firstEventStallTimeoutMilliseconds: number;
}

export interface StallListener {
    /** Called once in each pause that reaches the quiet threshold, before `stalled`. */
    quiet(): void;
    /** Called once in each pause that reaches the stall timeout. */
    stalled(): void;
}

/** A pause of this many average gaps is quiet. */
const quietGapMultiple = 2;
/** Weight of the newest gap in the exponential moving average. */
const newestGapWeight = 0.2;

export class StallDetector {
    private timer: ReturnType<typeof setTimeout> | undefined;
    private lastProgressAt = monotonicNow();
    private averageGapMilliseconds = 0;
    private firstEventReceived = false;

    constructor(
        private readonly limits: StallLimits,
        private readonly listener: StallListener,
        private readonly boundary: FailureBoundary,
    ) {
        this.schedule(limits.firstEventQuietThresholdMilliseconds, limits.firstEventStallTimeoutMilliseconds);
    }

    /** Restarts the timer after an event has arrived or the caller reads again. */
    recordProgress(): void {
        const now = monotonicNow();
        const gap = now - this.lastProgressAt;
        this.averageGapMilliseconds = this.firstEventReceived
            ? this.averageGapMilliseconds + newestGapWeight * (gap - this.averageGapMilliseconds)
            : 0;
        this.firstEventReceived = true;
        this.lastProgressAt = now;
        this.schedule(
            Math.max(this.limits.quietThresholdMilliseconds, quietGapMultiple * this.averageGapMilliseconds),
            this.limits.stallTimeoutMilliseconds,
        );
    }

    /**
     * Stops the timer until the next recorded progress, because the caller does not read and no event can be delivered.
     */
    suspend(): void {
        clearTimeout(this.timer);
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private schedule(quietThreshold: number, stallTimeout: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(
            this.boundary.wrap(() => this.reportQuiet(Math.max(0, stallTimeout - quietThreshold))),
            Math.min(quietThreshold, stallTimeout),
        );
    }

    private reportQuiet(stallDelayMilliseconds: number): void {
        this.timer = setTimeout(this.boundary.wrap(() => this.listener.stalled()), stallDelayMilliseconds);
        this.listener.quiet();
    }
}
