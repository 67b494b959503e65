/** Choosing the pipeline for an attempt. */
import type { LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";

/** KV cache that an earlier attempt at the same answer left behind. */
export interface SurvivingStage {
    readonly backendServer: string;
    readonly layers: LayerRange;
    readonly attemptId: string;
    /** False when the server still answers but should be left, so that its cache can only be moved. */
    readonly usable: boolean;
}

/** What a pipeline is needed for. */
export interface PipelineRequest {
    readonly requestId: string;
    readonly model: ModelDescription;
    readonly adapter?: string;
    readonly promptTokens: number;
    /** Tokens that are still expected. */
    readonly expectedTokens: number;
    /** Tokens already given to the caller. */
    readonly generatedTokens: number;
    readonly prefixBlocks: readonly string[];
    /** Backend servers that must not be used. */
    readonly excluded: ReadonlySet<string>;
    readonly survivingStages: readonly SurvivingStage[];
}

/** The chosen pipeline, with what was expected of it. */
export interface PipelineChoice {
    readonly plan: PipelinePlan;
    readonly expectedFirstTokenMilliseconds: number;
    readonly expectedTokenMilliseconds: number;
    /** Tokens of prefix that some stage must compute again. */
    readonly recomputedTokens: number;
    readonly considered: readonly string[];
    readonly reason: string;
}

/** Chooses a pipeline from present knowledge. Throws NoPipelineError when no usable pipeline exists. */
export interface PipelineChooser {
    choose(request: PipelineRequest): PipelineChoice;
}

export type { InFlightLedger } from "../../domain/in-flight-ledger.js";
