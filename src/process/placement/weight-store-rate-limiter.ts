/**
 * Limits the loads of the whole fleet to the weight store's read rate: a load starts only after all earlier loads could
 * have been read at that rate. Loads are queued, and the time of each is counted from its actual start, so that loads
 * delayed by a pause of the process do not all start together when it ends.
 */
import { delay, monotonicNow } from "../../common/clock.js";

const millisecondsPerSecond = 1_000;

export class WeightStoreRateLimiter {
    private earliestNextStart = 0;
    private lastReservation: Promise<void> = Promise.resolve();

    constructor(private bytesPerSecond: number) {}

    setRate(bytesPerSecond: number): void {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Milliseconds that the weight store needs to deliver the bytes. */
    loadMilliseconds(bytes: number): number {
        return (bytes * millisecondsPerSecond) / this.bytesPerSecond;
    }

    /** Delays the next load by at least the given time, since loads of the previous holder may still be running. */
    delayNextLoad(milliseconds: number): void {
        this.earliestNextStart = Math.max(this.earliestNextStart, monotonicNow() + milliseconds);
    }

    /** Resolves when the load may start. Also resolves if the signal is aborted; the load must then not be started. */
    reserve(bytes: number, signal: AbortSignal): Promise<void> {
        this.lastReservation = this.lastReservation.then(() => this.waitForStart(bytes, signal));
        return this.lastReservation;
    }

    private async waitForStart(bytes: number, signal: AbortSignal): Promise<void> {
        // Timers may fire slightly early, so the clock is checked again after each delay.
        while (monotonicNow() < this.earliestNextStart && !signal.aborted) {
            await delay(Math.ceil(this.earliestNextStart - monotonicNow()), signal);
        }
        if (!signal.aborted) {
            this.earliestNextStart = monotonicNow() + this.loadMilliseconds(bytes);
        }
    }
}
