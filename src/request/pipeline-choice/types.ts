/** Types for choosing the pipeline of an attempt. */
import type { LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";

/** A stage of an earlier attempt at the same answer whose KV cache can still be reused. */
export interface SurvivingStage {
    readonly backendServer: string;
    readonly layers: LayerRange;
    readonly attemptId: string;
    /** False if the server should take no new stage, so that its KV cache can only be imported by another server. */
    readonly usable: boolean;
}

/** A request that needs a pipeline. */
export interface PipelineRequest {
    readonly requestId: string;
    readonly model: ModelDescription;
    readonly adapter?: string;
    readonly promptTokens: number;
    /** Output tokens that are still expected. */
    readonly expectedTokens: number;
    /** Output tokens already sent to the caller. */
    readonly generatedTokens: number;
    /** Hashes of the prompt's prefix blocks, in order. */
    readonly prefixBlocks: readonly string[];
    /** IDs of backend servers that must not be used. */
    readonly excluded: ReadonlySet<string>;
    readonly survivingStages: readonly SurvivingStage[];
}

/** The chosen pipeline with its latency estimates. */
export interface PipelineChoice {
    readonly plan: PipelinePlan;
    /** Upper estimate of the time to the first token under the present load; the baseline choosers give 0. */
    readonly expectedFirstTokenMilliseconds: number;
    /** Upper estimate of the time of each later token; the baseline choosers give 0. */
    readonly expectedTokenMilliseconds: number;
    /** Most prefix tokens that any stage of the pipeline must compute before the first new token. */
    readonly recomputedTokens: number;
    /** IDs of the backend servers that were compared. */
    readonly considered: readonly string[];
    readonly reason: string;
}

/** Chooses a pipeline from the router's present state. Throws NoPipelineError if no usable pipeline exists. */
export interface PipelineChooser {
    choose(request: PipelineRequest): PipelineChoice;
}

export type { InFlightCounter } from "../../domain/in-flight-counter.js";
