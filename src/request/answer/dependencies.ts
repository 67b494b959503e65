/** What the answer service works with. */
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { BackendServerHealth } from "../../process/outlier-ejection/types.js";
import type { RetryBudgets } from "../../process/retry-budgets/types.js";
import type { CapacitySignals } from "../admission/adaptive-token-limit.js";
import type { InFlightLedger, PipelineChooser } from "../pipeline-choice/types.js";

export interface AnswerDependencies {
    readonly chooser: PipelineChooser;
    readonly connections: BackendServerConnections;
    readonly ledger: InFlightLedger;
    readonly health: BackendServerHealth;
    readonly retryBudgets: RetryBudgets;
    /** Told of first-token times and overload, so that admission follows them. */
    readonly capacity?: CapacitySignals;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}
