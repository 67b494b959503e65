/** The weight store that all engines share: one rate for the whole fleet. */
import { delay, monotonicNow } from "../../common/clock.js";

export class WeightStore {
    private freeAt = 0;

    constructor(private readonly bytesPerSecond: number) {}

    /** Milliseconds until the bytes would be here if asked for now. */
    expectedMilliseconds(bytes: number): number {
        return Math.max(0, this.freeAt - monotonicNow()) + (bytes * 1000) / this.bytesPerSecond;
    }

    async fetch(bytes: number): Promise<void> {
        const wait = this.expectedMilliseconds(bytes);
        this.freeAt = monotonicNow() + wait;
        await delay(wait);
    }
}
