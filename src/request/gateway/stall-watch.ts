/**
 * Notices that a stream makes no progress. A pause that is long for this stream is reported early, so that its servers can
 * be checked; a pause close to the caller's patience is reported as a stall.
 */
import { monotonicNow } from "../../common/clock.js";

export interface StallLimits {
    /** A pause is long from here on, whatever the stream's usual gap. */
    readonly quietMilliseconds: number;
    /** A pause is a stall from here on. */
    readonly stalledMilliseconds: number;
    /** The same for the first event, which waits for the prompt to be read. */
    readonly firstQuietMilliseconds: number;
    readonly firstStalledMilliseconds: number;
}

export interface StallListener {
    quiet(): void;
    stalled(): void;
}

/** A pause of so many usual gaps is long. */
const quietGaps = 2;
/** Weight of the newest gap in the average. */
const gapWeight = 0.2;

export class StallWatch {
    private timer: ReturnType<typeof setTimeout> | undefined;
    private progressedAt = monotonicNow();
    private usualGap = 0;
    private begun = false;

    constructor(private readonly limits: StallLimits, private readonly listener: StallListener) {
        this.schedule(limits.firstQuietMilliseconds, limits.firstStalledMilliseconds);
    }

    /** An event has arrived. */
    progressed(): void {
        const now = monotonicNow();
        const gap = now - this.progressedAt;
        this.usualGap = this.begun ? this.usualGap + gapWeight * (gap - this.usualGap) : 0;
        this.begun = true;
        this.progressedAt = now;
        this.schedule(
            Math.max(this.limits.quietMilliseconds, quietGaps * this.usualGap),
            this.limits.stalledMilliseconds,
        );
    }

    /** The caller does not read, so that no event is expected until the next progress. */
    suspend(): void {
        clearTimeout(this.timer);
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private schedule(quiet: number, stalled: number): void {
        clearTimeout(this.timer);
        this.timer = setTimeout(() => {
            this.timer = setTimeout(() => this.listener.stalled(), Math.max(0, stalled - quiet));
            this.listener.quiet();
        }, Math.min(quiet, stalled));
    }
}
