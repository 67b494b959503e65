/** Emulates the store from which engines load model weights. They share its bandwidth; fetches run one at a time. */
import { delay, monotonicNow } from "../../common/clock.js";

export class WeightStore {
    private idleAt = 0;

    constructor(private readonly bytesPerSecond: number) {}

    /** Milliseconds that a fetch of this size would take if requested now. */
    expectedMilliseconds(bytes: number): number {
        return Math.max(0, this.idleAt - monotonicNow()) + (bytes * 1000) / this.bytesPerSecond;
    }

    async fetch(bytes: number): Promise<void> {
        const wait = this.expectedMilliseconds(bytes);
        this.idleAt = monotonicNow() + wait;
        await delay(wait);
    }
}
