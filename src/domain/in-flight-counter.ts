import type { PipelinePlan } from "./pipeline-plan.js";

/** Counts this router's in-flight attempts and their tokens on each backend server. */
export interface InFlightCounter {
    /**
     * Counts one attempt with the given number of tokens on every backend server of the plan. Returns a function that
     * removes the attempt from the counts; further calls of the function have no effect.
     */
    begin(plan: PipelinePlan, tokens: number): () => void;
}
