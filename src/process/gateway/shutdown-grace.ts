/**
 * Decides which requests may still be sent to backend servers while the router shuts down, so that none is cut off without
 * a response when the grace period ends.
 */
import { monotonicNow } from "../../common/clock.js";

/**
 * The platform probes readiness once a second and stops sending new connections after two failed probes; requests of any
 * length are taken for this long, or for half of a shorter grace period.
 */
const readinessNoticeMilliseconds = 2_500;

export class ShutdownGrace {
    private startedAt = -Infinity;
    private milliseconds = Infinity;
    private ended = false;

    /** Starts the grace period, which lasts for the given time. */
    begin(milliseconds: number): void {
        this.startedAt = monotonicNow();
        this.milliseconds = milliseconds;
    }

    /** From now on, no request may be sent to a backend server. */
    end(): void {
        this.ended = true;
    }

    get begun(): boolean {
        return this.milliseconds !== Infinity;
    }

    /** Time from the start during which new connections and requests of any length are taken. */
    get noticeMilliseconds(): number {
        return Math.min(readinessNoticeMilliseconds, this.milliseconds / 2);
    }

    get remainingMilliseconds(): number {
        return this.begun ? this.startedAt + this.milliseconds - monotonicNow() : Infinity;
    }

    /**
     * Whether a request with this deadline, in milliseconds on the monotonic clock, may be sent to a backend server: early
     * in the grace period every one, and later only one that certainly ends before it does.
     */
    allowsStart(deadline: number): boolean {
        return !this.begun
            || (!this.ended
                && (monotonicNow() - this.startedAt <= this.noticeMilliseconds
                    || deadline <= this.startedAt + this.milliseconds));
    }
}
