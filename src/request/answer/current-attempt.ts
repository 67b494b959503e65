/** The running attempt of an answer. */
import type { ServerProgress } from "../../process/outlier-ejection/server-progress.js";
import type { PipelineChoice } from "../pipeline-choice/types.js";
import type { AttemptRun } from "./attempt-run.js";

export interface CurrentAttempt {
    readonly id: string;
    readonly choice: PipelineChoice;
    readonly run: AttemptRun;
    /** Progress records of the plan's backend servers, in stage order. */
    readonly servers: readonly ServerProgress[];
    /** On the monotonic clock, in milliseconds. */
    readonly dispatchedAt: number;
    /** Removes the attempt from the in-flight counter; further calls have no effect. */
    readonly releaseInFlight: () => void;
}
