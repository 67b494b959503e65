/**
 * How long the first events of a service's streams take lately, by an average and its mean deviation. A first event that
 * takes much longer than these say is likely lost, while in a busy service all take longer.
 */

/** Weight of the newest time; follows a change of load within some ten streams. */
const newestWeight = 0.1;
/** Mean deviations above the average that hardly any stream exceeds (the rule of TCP's retransmission timer, RFC 6298). */
const deviations = 4;

interface Average {
    mean: number;
    deviation: number;
}

export class FirstEventTimes {
    private readonly averages = new Map<string, Average>();

    note(service: string, milliseconds: number): void {
        const average = this.averages.get(service);
        if (average === undefined) {
            this.averages.set(service, { mean: milliseconds, deviation: milliseconds / 2 });
            return;
        }
        const difference = milliseconds - average.mean;
        average.mean += newestWeight * difference;
        average.deviation += newestWeight * (Math.abs(difference) - average.deviation);
    }

    /** A time that hardly any first event exceeds, in milliseconds; undefined before the first one. */
    upperBound(service: string): number | undefined {
        const average = this.averages.get(service);
        return average === undefined ? undefined : average.mean + deviations * average.deviation;
    }
}
