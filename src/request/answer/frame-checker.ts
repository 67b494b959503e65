/**
 * Checks every frame of one attempt against its plan. A frame that is late, repeated, crossed, of another plan or
 * computed by other layers than planned is a violation and never reaches the caller.
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

    /** `position` is the position of the first token that the attempt may send. */
    constructor(
        private readonly attemptId: string,
        private readonly plan: PipelinePlan,
        private position: number,
        private readonly maximumTokens: number,
    ) {
        this.layers = plan.layerRanges;
    }

    /** The position of the next token. */
    get nextPosition(): number {
        return this.position;
    }

    /** Checks the frame and, if it is a token, moves on to the next position. */
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
        if (!this.ranAsPlanned(frame.layers)) {
            return FrameViolation.wrongLayers;
        }
        this.position++;
        return undefined;
    }

    private ranAsPlanned(layers: readonly LayerRange[]): boolean {
        return layers.length === this.layers.length
            && layers.every((range, index) => layerRangesEqual(range, this.layers[index]!));
    }
}
