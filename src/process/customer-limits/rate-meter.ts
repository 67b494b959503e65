/** Measures a rate with an exponentially decaying window. */
import { monotonicNow } from "../../common/clock.js";

const millisecondsPerSecond = 1000;

export class RateMeter {
    private readonly startedAt = monotonicNow();
    private updatedAt = this.startedAt;
    private amount = 0;

    /** `windowMilliseconds` is the time in which old amounts lose all but 1/e of their part. */
    constructor(private readonly windowMilliseconds: number) {}

    add(amount: number): void {
        this.decay();
        this.amount += amount;
    }

    /** Amount in a second. */
    get perSecond(): number {
        this.decay();
        const age = Math.max(1, this.updatedAt - this.startedAt);
        const covered = this.windowMilliseconds * (1 - Math.exp(-age / this.windowMilliseconds));
        return (this.amount * millisecondsPerSecond) / covered;
    }

    /** Milliseconds since the meter was made. */
    get ageMilliseconds(): number {
        return monotonicNow() - this.startedAt;
    }

    private decay(): void {
        const now = monotonicNow();
        this.amount *= Math.exp((this.updatedAt - now) / this.windowMilliseconds);
        this.updatedAt = now;
    }
}
