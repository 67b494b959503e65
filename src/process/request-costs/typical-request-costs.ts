/** Baseline: every request is like the typical one of the engine profile, and every plain request takes the same time. */
import type { OutputEstimate, RequestCostEstimator, RunTimeEstimate, StreamCostQuery } from "./types.js";

/** Only ratios between servers count, since all requests take the same. */
const typicalRunMilliseconds = 100;

export class TypicalRequestCosts implements RequestCostEstimator {
    estimateOutput({ engine, maximumOutputTokens }: StreamCostQuery): OutputEstimate {
        const tokens = Math.min(engine.typicalOutputTokens, maximumOutputTokens ?? Infinity);
        return { meanTokens: tokens, upperTokens: tokens, expectedAfter: () => tokens };
    }

    recordOutput(): void {
        // Nothing is learnt.
    }

    estimateRunTime(): RunTimeEstimate {
        return { meanMilliseconds: typicalRunMilliseconds, expectedAfter: () => typicalRunMilliseconds };
    }

    recordRunTime(): void {
        // Nothing is learnt.
    }

    usualRunMilliseconds(): number {
        return typicalRunMilliseconds;
    }
}
