/**
 * Adaptive concurrency limit in tokens: how many tokens of work this router may have in flight. The limit follows the
 * measured performance of the backend servers: it decreases multiplicatively while first tokens are late, token gaps
 * are long or backend servers refuse attempts as overloaded, and grows by a fixed fraction while it is nearly used up.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import {
    congestedFirstTokenMilliseconds,
    limitAdjustPeriodMilliseconds,
    limitDecreaseFactor,
    limitIncreaseShare,
    maximumLateShare,
    maximumPressureForIncrease,
    minimumTokenLimit,
    minimumUseForIncrease,
    tokenGapTargetMilliseconds,
} from "./constants.js";

/** Receives the measurements from which the capacity of the backend servers is inferred. */
export interface CapacitySignals {
    /** Reports the time from an attempt's dispatch to its first token. */
    recordFirstToken(milliseconds: number): void;
    /** Reports the time between two consecutive tokens of an answer. */
    recordTokenGap(milliseconds: number): void;
    /** Reports that a backend server refused an attempt because it already has too many. */
    recordOverload(): void;
}

export class AdaptiveTokenLimit implements CapacitySignals {
    private adjustedAt = monotonicNow();
    /** First tokens and overload refusals since the last adjustment; a refusal counts as late. */
    private samples = 0;
    private lateSamples = 0;
    private gapCount = 0;
    private totalGapMilliseconds = 0;
    private peakUse = 0;

    constructor(
        private limit: number,
        private readonly metrics: Metrics,
        private readonly lateThresholdMilliseconds: number = congestedFirstTokenMilliseconds,
    ) {}

    get tokens(): number {
        return this.limit;
    }

    /** Records the tokens in flight; the limit rises only if the peak since the last adjustment is close to it. */
    recordUse(tokens: number): void {
        this.peakUse = Math.max(this.peakUse, tokens);
    }

    recordFirstToken(milliseconds: number): void {
        this.samples++;
        this.lateSamples += milliseconds > this.lateThresholdMilliseconds ? 1 : 0;
        this.adjust();
    }

    recordTokenGap(milliseconds: number): void {
        this.gapCount++;
        this.totalGapMilliseconds += milliseconds;
    }

    recordOverload(): void {
        this.samples++;
        this.lateSamples++;
        this.adjust();
    }

    private adjust(): void {
        const now = monotonicNow();
        if (now - this.adjustedAt < limitAdjustPeriodMilliseconds) {
            return;
        }
        const pressure = this.pressure;
        if (pressure > 1) {
            this.limit = Math.max(minimumTokenLimit, this.limit * Math.max(limitDecreaseFactor, 1 / pressure));
        }
        else if (pressure < maximumPressureForIncrease && this.peakUse >= this.limit * minimumUseForIncrease) {
            this.limit *= 1 + limitIncreaseShare;
        }
        this.metrics.gauge("pomelostall.admission.token_limit", this.limit);
        this.adjustedAt = now;
        this.samples = 0;
        this.lateSamples = 0;
        this.gapCount = 0;
        this.totalGapMilliseconds = 0;
        this.peakUse = 0;
    }

    /** Above 1 if more than `maximumLateShare` of the samples are late, or if the mean token gap exceeds its target. */
    private get pressure(): number {
        const latePressure = this.samples === 0 ? 0 : this.lateSamples / this.samples / maximumLateShare;
        const gapPressure = this.gapCount === 0
            ? 0
            : this.totalGapMilliseconds / this.gapCount / tokenGapTargetMilliseconds;
        return Math.max(latePressure, gapPressure);
    }
}
