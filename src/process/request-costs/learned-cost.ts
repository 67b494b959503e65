/**
 * Learns the distribution of one positive quantity, such as the output tokens of a route's requests, and how far a predictor
 * that comes with each request, such as the caller's hint, tells it. Keeps exponentially weighted moments of the
 * logarithms: an observation moves them by a bounded amount, whatever its value, and older ones fade.
 */
import { monotonicNow } from "../../common/clock.js";
import type { LogNormal } from "./log-normal.js";

/** What is known before the first observation. */
export interface CostPrior {
    readonly mean: number;
    /** Standard deviation of the logarithm of the quantity. */
    readonly logDeviation: number;
    /** Standard deviation of the logarithm of the predictor's error. */
    readonly predictorLogDeviation: number;
    /** Observations count for the newest of so many; a change is learnt after about as many. */
    readonly memory: number;
}

/** A new quantity is believed as much as this many observations of its own. */
const priorWeight = 8;
/** Without observations, the weight halves in this time: what was learnt on another day yields to the first new ones. */
const halfLifeMilliseconds = 1_800_000;
/** An observation counts as no further from its expectation than this many standard deviations. */
const maximumDeviations = 3;
/** The error of an estimate is never taken to be less than a tenth. */
const minimumLogDeviation = 0.1;

export class LearnedCost {
    /** Number of observations that the moments are worth. */
    private weight = priorWeight;
    private logMean: number;
    private variance: number;
    private predictorLogMean: number;
    private predictorVariance: number;
    private covariance: number;
    private readonly memory: number;
    private observedAt = monotonicNow();

    /** Begins with what is known, or with what a more general quantity has learnt. */
    constructor(prior: CostPrior | LearnedCost) {
        if (prior instanceof LearnedCost) {
            this.memory = prior.memory;
            this.logMean = prior.logMean;
            this.variance = prior.variance;
            this.predictorLogMean = prior.predictorLogMean;
            this.predictorVariance = prior.predictorVariance;
            this.covariance = prior.covariance;
        }
        else {
            this.memory = prior.memory;
            this.variance = prior.logDeviation ** 2;
            this.logMean = Math.log(prior.mean) - this.variance / 2;
            this.predictorLogMean = this.logMean;
            this.predictorVariance = this.variance + prior.predictorLogDeviation ** 2;
            this.covariance = this.variance;
        }
    }

    /** `predictor` is the value that came with the request; undefined if there was none. */
    distribution(predictor: number | undefined): LogNormal {
        if (predictor === undefined) {
            return { logMean: this.logMean, logDeviation: atLeastMinimum(this.variance) };
        }
        const slope = this.covariance / this.predictorVariance;
        return {
            logMean: this.logMean + slope * (this.boundPredictor(predictor) - this.predictorLogMean),
            logDeviation: atLeastMinimum(this.variance - slope * this.covariance),
        };
    }

    record(value: number, predictor: number | undefined): void {
        const { logMean, logDeviation } = this.distribution(predictor);
        const bounded = clamp(Math.log(value), logMean, maximumDeviations * logDeviation);
        const weight = this.ageWeight();
        const share = 1 / (weight + 1);
        const difference = bounded - this.logMean;
        if (predictor !== undefined) {
            const predictorDifference = this.boundPredictor(predictor) - this.predictorLogMean;
            this.predictorLogMean += share * predictorDifference;
            this.predictorVariance = (1 - share) * (this.predictorVariance + share * predictorDifference ** 2);
            this.covariance = (1 - share) * (this.covariance + share * difference * predictorDifference);
        }
        this.logMean += share * difference;
        this.variance = (1 - share) * (this.variance + share * difference ** 2);
        this.weight = Math.min(this.memory, weight + 1);
        this.observedAt = monotonicNow();
    }

    private ageWeight(): number {
        const age = Math.max(0, monotonicNow() - this.observedAt);
        return Math.max(1, this.weight * 2 ** (-age / halfLifeMilliseconds));
    }

    /** Logarithm of the predictor, brought near to what is usual, so that one odd value has no leverage. */
    private boundPredictor(predictor: number): number {
        const { predictorLogMean, predictorVariance } = this;
        return clamp(Math.log(predictor), predictorLogMean, maximumDeviations * atLeastMinimum(predictorVariance));
    }
}

function clamp(value: number, middle: number, distance: number): number {
    return Math.min(middle + distance, Math.max(middle - distance, value));
}

function atLeastMinimum(variance: number): number {
    return Math.max(minimumLogDeviation, Math.sqrt(Math.max(0, variance)));
}
