/**
 * Log-normal distributions. Lengths of answers and run times of requests spread over factors, not over differences, and have a
 * long tail: the longer one has gone on, the more of it is expected to be left.
 */

export interface LogNormal {
    /** Mean of the logarithm. */
    readonly logMean: number;
    /** Standard deviation of the logarithm; positive. */
    readonly logDeviation: number;
}

/** Standard normal quantile of 0.9. */
const upperDeviations = 1.2816;

export function meanOf({ logMean, logDeviation }: LogNormal): number {
    return Math.exp(logMean + logDeviation ** 2 / 2);
}

/** Value that nine in ten do not exceed. */
export function upperQuantileOf({ logMean, logDeviation }: LogNormal): number {
    return Math.exp(logMean + upperDeviations * logDeviation);
}

/** Mean of the values above the given one; not below that one. */
export function meanAbove(distribution: LogNormal, value: number): number {
    if (value <= 0) {
        return meanOf(distribution);
    }
    const { logMean, logDeviation } = distribution;
    const deviations = (Math.log(value) - logMean) / logDeviation;
    const above = normalTail(deviations);
    // Far in the tail, where the probability underflows, the ratio approaches this.
    const mean = above > Number.MIN_VALUE
        ? meanOf(distribution) * normalTail(deviations - logDeviation) / above
        : value * (1 + logDeviation / deviations);
    return Math.max(value, mean);
}

/** Probability that a standard normal variable exceeds the value, by the Chebyshev fit of erfc in Numerical Recipes. */
export function normalTail(value: number): number {
    const scaled = Math.abs(value) / Math.SQRT2;
    const t = 1 / (1 + scaled / 2);
    const coefficients = [
        0.17087277,
        -0.82215223,
        1.48851587,
        -1.13520398,
        0.27886807,
        -0.18628806,
        0.09678418,
        0.37409196,
        1.00002368,
        -1.26551223,
    ];
    const polynomial = coefficients.reduce((sum, coefficient) => sum * t + coefficient, 0);
    const tail = t * Math.exp(polynomial - scaled ** 2) / 2;
    return value >= 0 ? tail : 1 - tail;
}
