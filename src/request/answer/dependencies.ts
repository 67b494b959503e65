/** What the answer service works with. */
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { StageProgress } from "../../process/outlier-ejection/stage-progress.js";
import type { BackendServerHealth } from "../../process/outlier-ejection/types.js";
import type { RetryBudgets } from "../../process/retry-budgets/types.js";
import type { CapacitySignals } from "../admission/adaptive-token-limit.js";
import type { InFlightLedger, PipelineChooser } from "../pipeline-choice/types.js";

/** How an answer goes on after a failed attempt. */
export const RecoveryStrategy = {
    /** At the next position, with the KV cache that survived. */
    resume: "resume",
    /** From the first position, with tokens that the caller has left out: the baseline of benchmarks. */
    restart: "restart",
} as const;
export type RecoveryStrategy = typeof RecoveryStrategy[keyof typeof RecoveryStrategy];

export interface AnswerDependencies {
    readonly chooser: PipelineChooser;
    readonly connections: BackendServerConnections;
    readonly ledger: InFlightLedger;
    readonly health: BackendServerHealth;
    /** Shared by all answers of the router; each service makes its own if none is given. */
    readonly progress?: StageProgress;
    /** How to go on after a failed attempt; resumption unless given. */
    readonly recovery?: RecoveryStrategy;
    readonly retryBudgets: RetryBudgets;
    /** Told of first-token times and overload, so that admission follows them. */
    readonly capacity?: CapacitySignals;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}
