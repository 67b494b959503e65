/** Measures a rate over an exponentially decaying window. */
import { monotonicNow } from "../../common/clock.js";

const millisecondsPerSecond = 1000;

export class RateMeter {
    private readonly startedAt = monotonicNow();
    private updatedAt = this.startedAt;
    private amount = 0;

    /** `windowMilliseconds` is the time constant: the time after which the weight of an amount has fallen to 1/e. */
    constructor(private readonly windowMilliseconds: number) {}

    add(amount: number): void {
        this.decay();
        this.amount += amount;
    }

    /** Rate per second, corrected for the part of the window that precedes the meter's creation. */
    get perSecond(): number {
        this.decay();
        const age = Math.max(1, this.updatedAt - this.startedAt);
        const effectiveWindowMilliseconds = this.windowMilliseconds * (1 - Math.exp(-age / this.windowMilliseconds));
        return (this.amount * millisecondsPerSecond) / effectiveWindowMilliseconds;
    }

    /** Milliseconds since the meter was created. */
    get ageMilliseconds(): number {
        return monotonicNow() - this.startedAt;
    }

    private decay(): void {
        const now = monotonicNow();
        this.amount *= Math.exp((this.updatedAt - now) / this.windowMilliseconds);
        this.updatedAt = now;
    }
}
