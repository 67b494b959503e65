/** The attempt that an answer has under way. */
import type { ServerProgress } from "../../process/outlier-ejection/stage-progress.js";
import type { PipelineChoice } from "../pipeline-choice/types.js";
import type { AttemptRun } from "./attempt-run.js";

export interface CurrentAttempt {
    readonly id: string;
    readonly choice: PipelineChoice;
    readonly run: AttemptRun;
    /** Progress of the plan's backend servers, in the order of its stages. */
    readonly servers: readonly ServerProgress[];
    /** Monotonic milliseconds. */
    readonly dispatchedAt: number;
    readonly endCount: () => void;
}
