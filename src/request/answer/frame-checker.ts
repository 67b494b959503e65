/**
 * Validates every frame of one attempt against its plan. A frame with a repeated or skipped position, of another
 * attempt or plan, or computed by layers other than the planned ones is a violation and never reaches the caller.
 */
import type { EngineFrame, TokenFrame } from "../../domain/engine-protocol.js";
import { type LayerRange, layerRangesEqual } from "../../domain/layers.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";

export const FrameViolation = {
    foreignAttempt: "foreign-attempt",
    foreignPlan: "foreign-plan",
    repeatedPosition: "repeated-position",
    skippedPosition: "skipped-position",
    wrongLayers: "wrong-layers",
    tooManyTokens: "too-many-tokens",
    wrongCount: "wrong-count",
} as const;
export type FrameViolation = typeof FrameViolation[keyof typeof FrameViolation];

export class FrameChecker {
    private readonly layers: readonly LayerRange[];

    /** `position` is the position of the attempt's first token; `maximumTokens` limits the whole answer. */
    constructor(
        private readonly attemptId: string,
        private readonly plan: PipelinePlan,
        private position: number,
        private readonly maximumTokens: number,
    ) {
        this.layers = plan.layerRanges;
    }

    /** The position that the next token must have. */
    get nextPosition(): number {
        return this.position;
    }

    /** Returns the frame's violation, or undefined. A valid token advances the position. */
    check(frame: EngineFrame): FrameViolation | undefined {
        if (frame.attemptId !== this.attemptId) {
            return FrameViolation.foreignAttempt;
        }
        if (frame.type === "heartbeat") {
            return undefined;
        }
        if (frame.planId !== this.plan.id) {
            return FrameViolation.foreignPlan;
        }
        if (frame.type === "token") {
            return this.checkToken(frame);
        }
        return frame.type === "end" && frame.count !== this.position ? FrameViolation.wrongCount : undefined;
    }

    private checkToken(frame: TokenFrame): FrameViolation | undefined {
        if (frame.position !== this.position) {
            return frame.position < this.position ? FrameViolation.repeatedPosition : FrameViolation.skippedPosition;
        }
        if (frame.position >= this.maximumTokens) {
            return FrameViolation.tooManyTokens;
        }
        if (!this.layersMatchPlan(frame.layers)) {
            return FrameViolation.wrongLayers;
        }
        this.position++;
        return undefined;
    }

    private layersMatchPlan(layers: readonly LayerRange[]): boolean {
        return layers.length === this.layers.length
            && layers.every((range, index) => layerRangesEqual(range, this.layers[index]!));
    }
}
