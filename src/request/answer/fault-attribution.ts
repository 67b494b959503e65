/**
 * Determines which backend servers caused an attempt to fail, excludes or suspects them for the rest of the answer, and
 * reports them to outlier ejection and overload to admission.
 */
import type { FailureFrame } from "../../domain/engine-protocol.js";
import { type AttemptFailure, AttemptFailureKind } from "./attempt-failure.js";
import { healthyTokenMarginMilliseconds, probeTimeoutMilliseconds } from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";
import type { AnswerDependencies } from "./dependencies.js";
import type { RecoveryState } from "./recovery-state.js";

/** The reason that an engine reports when it cannot reach another stage. */
const stageUnreachable: FailureFrame["reason"] = "stage-unreachable";

export class FaultAttribution {
    /** First-stage servers whose connection went silent although they still answered a probe. */
    private readonly serversWithSilentConnection = new Set<string>();

    constructor(private readonly recoveryState: RecoveryState, private readonly dependencies: AnswerDependencies) {}

    /** Whether a connection to the backend server went silent, so that pooled connections must not be reused. */
    hadSilentConnection(backendServer: string): boolean {
        return this.serversWithSilentConnection.has(backendServer);
    }

    /** Excludes or suspects the backend servers at fault, so that the next plan avoids them. */
    async attribute(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        const { health } = this.dependencies;
        switch (failure.kind) {
            case AttemptFailureKind.refused:
                this.recoveryState.exclude(failure.backendServer!);
                if (failure.reason === "draining") {
                    health.recordDraining(failure.backendServer!);
                }
                else if (failure.reason === "overloaded") {
                    this.dependencies.capacity?.recordOverload();
                }
                else if (failure.reason === stageUnreachable) {
                    // The failure frame names the unreachable server. Outlier ejection must learn of it, since other
                    // answers cannot reach that server either.
                    health.recordFailure(failure.backendServer!, failure.reason);
                }
                return;
            case AttemptFailureKind.connectionSilent:
            case AttemptFailureKind.stalled:
                await this.probeAndSuspectStages(attempt, failure.kind);
                return;
            default:
                if (failure.backendServer !== undefined) {
                    this.recoveryState.exclude(failure.backendServer);
                    health.recordFailure(failure.backendServer, failure.reason);
                }
        }
    }

    /**
     * Excludes servers that do not answer a probe, and suspects those that answer but have delivered no token for any
     * answer since the stall began. After a silent connection to a first stage that answers its probe, the server gets
     * one more attempt over a fresh connection before any server is suspected.
     */
    private async probeAndSuspectStages(attempt: CurrentAttempt, kind: AttemptFailureKind): Promise<void> {
        const reachable = await this.probeStages(attempt);
        const firstBackendServer = attempt.choice.plan.stages[0]!.backendServer;
        if (
            kind === AttemptFailureKind.connectionSilent && reachable.has(firstBackendServer)
            && !this.serversWithSilentConnection.has(firstBackendServer)
        ) {
            this.serversWithSilentConnection.add(firstBackendServer);
            return;
        }
        const healthyAfter = attempt.run.lastProgressAt + healthyTokenMarginMilliseconds;
        const withoutProgress = attempt.choice.plan.stages
            .filter((stage, index) =>
                reachable.has(stage.backendServer) && attempt.servers[index]!.lastTokenAt <= healthyAfter
            )
            .map(stage => stage.backendServer);
        // If every reachable server makes progress on other answers, a link between two stages is at fault. Any of the
        // servers may be at an end of that link, so all of them are suspected.
        const suspects = withoutProgress.length > 0 ? withoutProgress : [...reachable];
        suspects.forEach(backendServer => this.recoveryState.suspect(backendServer));
        if (withoutProgress.length === 1) {
            this.dependencies.health.recordFailure(withoutProgress[0]!, "stalled");
        }
    }

    /** Probes every stage in parallel and excludes those that do not answer. Returns the backend servers that do. */
    private async probeStages(attempt: CurrentAttempt): Promise<Set<string>> {
        const { connections, health } = this.dependencies;
        const reachable = new Set<string>();
        await Promise.all(attempt.choice.plan.stages.map(async stage => {
            try {
                const connection = connections.get(stage.backendServer, stage.address);
                await connection.readHoldings(probeTimeoutMilliseconds);
                reachable.add(stage.backendServer);
            }
            catch {
                this.recoveryState.exclude(stage.backendServer);
                health.recordFailure(stage.backendServer, "silent");
            }
        }));
        return reachable;
    }
}
