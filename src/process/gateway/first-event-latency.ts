/**
 * Tracks the latency of the first event of each service's streams as a moving average and its mean deviation. A stream
 * whose first event takes much longer has probably failed. The bound adapts, since in a service under high load all
 * first events are late.
 *
 * Mean and bound rise with a few late ones. The typical latency, an estimate of the median, follows only a rise of more
 * than half of them, so it tells a service under high load from one of which a part is in trouble.
 */

/** Weight of the newest sample in the moving averages; they adapt to a change of load within about ten streams. */
const smoothingFactor = 0.1;
/** Number of mean deviations by which the upper bound exceeds the mean, as in TCP's retransmission timer (RFC 6298). */
const deviationMultiplier = 4;

/** Factor by which each sample moves the estimate of the median; it follows a change within some twenty streams. */
const medianStep = 1.1;

interface LatencyEstimate {
    mean: number;
    meanDeviation: number;
    median: number;
}

export class FirstEventLatency {
    private readonly estimates = new Map<string, LatencyEstimate>();

    record(service: string, milliseconds: number): void {
        const estimate = this.estimates.get(service);
        if (estimate === undefined) {
            this.estimates.set(service, {
                mean: milliseconds,
                meanDeviation: milliseconds / 2,
                median: Math.max(1, milliseconds),
            });
            return;
        }
        const difference = milliseconds - estimate.mean;
        estimate.mean += smoothingFactor * difference;
        estimate.meanDeviation += smoothingFactor * (Math.abs(difference) - estimate.meanDeviation);
        estimate.median *= milliseconds > estimate.median ? medianStep : 1 / medianStep;
    }

    /** Latency in milliseconds that about half of the first events exceed; undefined before the first sample. */
    typical(service: string): number | undefined {
        return this.estimates.get(service)?.median;
    }

    /** Latency in milliseconds that few first events exceed; undefined before the first sample of the service. */
    upperBound(service: string): number | undefined {
        const estimate = this.estimates.get(service);
        return estimate === undefined ? undefined : estimate.mean + deviationMultiplier * estimate.meanDeviation;
    }
}
