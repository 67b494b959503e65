/** Dependencies of the answer service. */
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { ServerProgressTracker } from "../../process/outlier-ejection/server-progress.js";
import type { BackendServerHealth } from "../../process/outlier-ejection/types.js";
import type { RetryBudgets } from "../../process/retry-budgets/types.js";
import type { CapacitySignals } from "../admission/adaptive-token-limit.js";
import type { InFlightCounter, PipelineChooser } from "../pipeline-choice/types.js";

/** How an answer continues after a failed attempt. */
export const RecoveryStrategy = {
    /** Continues at the next token position and reuses the surviving KV cache. */
    resume: "resume",
    /**
     * Regenerates the answer from position 0 and drops the tokens that the caller already has. Serves as the baseline
     * in benchmarks.
     */
    restart: "restart",
} as const;
export type RecoveryStrategy = typeof RecoveryStrategy[keyof typeof RecoveryStrategy];

export interface AnswerDependencies {
    readonly chooser: PipelineChooser;
    readonly connections: BackendServerConnections;
    readonly inFlightCounter: InFlightCounter;
    readonly health: BackendServerHealth;
    /** Shared by all answers of the router. If absent, the service creates its own. */
    readonly progress?: ServerProgressTracker;
    /** Defaults to `resume`. */
    readonly recoveryStrategy?: RecoveryStrategy;
    readonly retryBudgets: RetryBudgets;
    /** Receives first-token times, token gaps and overload reports, from which admission adapts its token limit. */
    readonly capacity?: CapacitySignals;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}
