/**
 * Spaces the loads of the whole fleet so that the weight store's rate is never passed: each load starts only when all
 * loads before it could have been read at that rate. Loads take turns, and a turn counts from when it really began, so
 * that turns that a pause of the process delayed don't all begin at its end.
 */
import { delay, monotonicNow } from "../../common/clock.js";

const millisecondsPerSecond = 1_000;

export class WeightStorePacer {
    private nextStart = 0;
    private lastTurn: Promise<void> = Promise.resolve();

    constructor(private bytesPerSecond: number) {}

    setRate(bytesPerSecond: number): void {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Milliseconds that the store needs for the bytes. */
    loadMilliseconds(bytes: number): number {
        return (bytes * millisecondsPerSecond) / this.bytesPerSecond;
    }

    /** Lets no load start before the given time has passed, for loads of an earlier holder that may still run. */
    holdBack(milliseconds: number): void {
        this.nextStart = Math.max(this.nextStart, monotonicNow() + milliseconds);
    }

    /** Waits for the load's turn. An aborted signal ends the wait, and the load must not be started then. */
    reserve(bytes: number, signal: AbortSignal): Promise<void> {
        this.lastTurn = this.lastTurn.then(() => this.takeTurn(bytes, signal));
        return this.lastTurn;
    }

    private async takeTurn(bytes: number, signal: AbortSignal): Promise<void> {
        // Timers may fire a little early, which would start the load before its time.
        while (monotonicNow() < this.nextStart && !signal.aborted) {
            await delay(Math.ceil(this.nextStart - monotonicNow()), signal);
        }
        if (!signal.aborted) {
            this.nextStart = monotonicNow() + this.loadMilliseconds(bytes);
        }
    }
}
