/**
 * Tracks the latency of the first event of each service's streams as a moving average and its mean deviation. A stream
 * whose first event takes much longer has probably failed. The bound adapts, since in a service under high load all
 * first events are late.
 */

/** Weight of the newest sample in the moving averages; they adapt to a change of load within about ten streams. */
const smoothingFactor = 0.1;
/** Number of mean deviations by which the upper bound exceeds the mean, as in TCP's retransmission timer (RFC 6298). */
const deviationMultiplier = 4;

interface LatencyEstimate {
    mean: number;
    meanDeviation: number;
}

export class FirstEventLatency {
    private readonly estimates = new Map<string, LatencyEstimate>();

    record(service: string, milliseconds: number): void {
        const estimate = this.estimates.get(service);
        if (estimate === undefined) {
            this.estimates.set(service, { mean: milliseconds, meanDeviation: milliseconds / 2 });
            return;
        }
        const difference = milliseconds - estimate.mean;
        estimate.mean += smoothingFactor * difference;
        estimate.meanDeviation += smoothingFactor * (Math.abs(difference) - estimate.meanDeviation);
    }

    /** Latency in milliseconds that few first events exceed; undefined before the first sample of the service. */
    upperBound(service: string): number | undefined {
        const estimate = this.estimates.get(service);
        return estimate === undefined ? undefined : estimate.mean + deviationMultiplier * estimate.meanDeviation;
    }
}
