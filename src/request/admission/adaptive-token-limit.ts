/**
 * The tokens of work that this router may have under way, following what the backend servers really do: it falls by a
 * factor while first tokens come late, answers come slowly or work is refused as overload, and rises by a share while it is in full use.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import {
    congestedFirstTokenMilliseconds,
    lateShareAllowed,
    limitAdjustPeriodMilliseconds,
    limitDecreaseFactor,
    limitIncreaseShare,
    limitUseForIncrease,
    minimumTokenLimit,
    pressureForIncrease,
    tokenGapTargetMilliseconds,
} from "./constants.js";

/** What answers tell of the backend servers' load. */
export interface CapacitySignals {
    /** Time from an attempt's dispatch to its first token. */
    recordFirstToken(milliseconds: number): void;
    /** Time between two tokens of one answer. */
    recordTokenGap(milliseconds: number): void;
    /** A backend server refused an attempt because it has too many. */
    recordOverload(): void;
}

export class AdaptiveTokenLimit implements CapacitySignals {
    private adjustedAt = monotonicNow();
    private samples = 0;
    private lateSamples = 0;
    private gaps = 0;
    private gapMilliseconds = 0;
    private highestUse = 0;

    constructor(
        private limit: number,
        private readonly metrics: Metrics,
        private readonly congestedMilliseconds: number = congestedFirstTokenMilliseconds,
    ) {}

    get tokens(): number {
        return this.limit;
    }

    /** Notes the tokens under way. */
    used(tokens: number): void {
        this.highestUse = Math.max(this.highestUse, tokens);
    }

    recordFirstToken(milliseconds: number): void {
        this.samples++;
        this.lateSamples += milliseconds > this.congestedMilliseconds ? 1 : 0;
        this.adjust();
    }

    recordTokenGap(milliseconds: number): void {
        this.gaps++;
        this.gapMilliseconds += milliseconds;
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
        else if (pressure < pressureForIncrease && this.highestUse >= this.limit * limitUseForIncrease) {
            this.limit *= 1 + limitIncreaseShare;
        }
        this.metrics.gauge("pomelostall.admission.token_limit", this.limit);
        this.adjustedAt = now;
        this.samples = 0;
        this.lateSamples = 0;
        this.gaps = 0;
        this.gapMilliseconds = 0;
        this.highestUse = 0;
    }

    /** Above 1 when first tokens come late for more than one in ten, or answers as a whole come slower than promised. */
    private get pressure(): number {
        const late = this.samples === 0 ? 0 : this.lateSamples / this.samples / lateShareAllowed;
        const slow = this.gaps === 0 ? 0 : this.gapMilliseconds / this.gaps / tokenGapTargetMilliseconds;
        return Math.max(late, slow);
    }
}
