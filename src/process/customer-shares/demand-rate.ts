/** Averages amounts over time, with a weight that falls exponentially with their age. */

export class DemandRate {
    private weightedSum = 0;
    private weightedMilliseconds = 0;

    /** `windowMilliseconds` is the time after which the weight of an amount has fallen to 1/e. */
    constructor(private readonly windowMilliseconds: number) {}

    /** Adds the amount of the last `milliseconds`. */
    add(amount: number, milliseconds: number): void {
        const kept = Math.exp(-milliseconds / this.windowMilliseconds);
        this.weightedSum = this.weightedSum * kept + amount;
        this.weightedMilliseconds = this.weightedMilliseconds * kept + milliseconds;
    }

    /** 0 before the first amount. */
    get perSecond(): number {
        return this.weightedMilliseconds === 0 ? 0 : this.weightedSum * 1_000 / this.weightedMilliseconds;
    }
}
