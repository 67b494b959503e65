/** Counting of the work that this router has under way. */
import type { PipelinePlan } from "./pipeline-plan.js";

/** Counts work that this router has under way on each backend server. */
export interface InFlightCounter {
    /** Counts the plan's work until the result is called. Calling the result again has no effect. */
    begin(plan: PipelinePlan, tokens: number): () => void;
}
