/** Finds out which backend servers are at fault for a failed attempt, and tells outlier ejection and admission. */
import type { FailureFrame } from "../../domain/engine-protocol.js";
import { type AttemptFailure, AttemptFailureKind } from "./attempt-failure.js";
import { exonerationMilliseconds, probeTimeoutMilliseconds } from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";
import type { AnswerDependencies } from "./dependencies.js";
import type { RecoveryState } from "./recovery-state.js";

/** An engine's reason for a stage that does not answer it. */
const stageUnreachable: FailureFrame["reason"] = "stage-unreachable";

export class FaultAttribution {
    /** Backend servers to which a silent connection was made anew. */
    private readonly reopened = new Set<string>();

    constructor(private readonly recovery: RecoveryState, private readonly dependencies: AnswerDependencies) {}

    /** Whether a connection to the backend server went silent, so that kept ones are not to be trusted. */
    wasReopened(backendServer: string): boolean {
        return this.reopened.has(backendServer);
    }

    /** Decides which backend servers to leave out of the next plan. */
    async attribute(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        const { health } = this.dependencies;
        switch (failure.kind) {
            case AttemptFailureKind.refused:
                this.recovery.exclude(failure.backendServer!);
                if (failure.reason === "draining") {
                    health.draining(failure.backendServer!);
                }
                else if (failure.reason === "overloaded") {
                    this.dependencies.capacity?.recordOverload();
                }
                else if (failure.reason === stageUnreachable) {
                    // The refusal names the stage that could not be reached, which is lost to every other answer too.
                    health.failed(failure.backendServer!, failure.reason);
                }
                return;
            case AttemptFailureKind.connectionSilent:
            case AttemptFailureKind.stalled:
                await this.blameStages(attempt, failure.kind);
                return;
            default:
                if (failure.backendServer !== undefined) {
                    this.recovery.exclude(failure.backendServer);
                    health.failed(failure.backendServer, failure.reason);
                }
        }
    }

    /**
     * Leaves out stages that do not answer a probe. Of those that do, a stalled attempt makes suspects of the ones that
     * have served no other answer since; a silent connection is opened anew, once, before its server is suspected.
     */
    private async blameStages(attempt: CurrentAttempt, kind: AttemptFailureKind): Promise<void> {
        const answering = await this.probeStages(attempt);
        const first = attempt.choice.plan.stages[0]!.backendServer;
        if (kind === AttemptFailureKind.connectionSilent && answering.has(first) && !this.reopened.has(first)) {
            this.reopened.add(first);
            return;
        }
        const since = attempt.run.lastProgress + exonerationMilliseconds;
        const idle = attempt.choice.plan.stages
            .filter((stage, index) =>
                answering.has(stage.backendServer) && attempt.servers[index]!.lastTokenAt <= since
            )
            .map(stage => stage.backendServer);
        // When every stage serves others, a link between them is at fault, and any of them may be its end.
        const suspects = idle.length > 0 ? idle : [...answering];
        suspects.forEach(backendServer => this.recovery.suspect(backendServer));
        if (idle.length === 1) {
            this.dependencies.health.failed(idle[0]!, "stalled");
        }
    }

    /** Asks every stage whether it is there; returns those that answer. */
    private async probeStages(attempt: CurrentAttempt): Promise<Set<string>> {
        const { connections, health } = this.dependencies;
        const answering = new Set<string>();
        await Promise.all(attempt.choice.plan.stages.map(async stage => {
            try {
                const connection = connections.get(stage.backendServer, stage.address);
                await connection.readHoldings(probeTimeoutMilliseconds);
                answering.add(stage.backendServer);
            }
            catch {
                this.recovery.exclude(stage.backendServer);
                health.failed(stage.backendServer, "silent");
            }
        }));
        return answering;
    }
}
