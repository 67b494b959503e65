/** The backend servers that one answer excludes or suspects after failed attempts, and where its KV cache survives. */
import { formatLayerRange } from "../../domain/layers.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { SurvivingStage } from "../pipeline-choice/types.js";

export class RecoveryState {
    private readonly excludedServers = new Set<string>();
    private readonly suspects = new Set<string>();
    private readonly survivingStages = new Map<string, SurvivingStage>();

    /** Excludes the backend server and its KV cache from all later attempts at this answer. */
    exclude(backendServer: string): void {
        this.excludedServers.add(backendServer);
        for (const [key, survivingStage] of this.survivingStages) {
            if (survivingStage.backendServer === backendServer) {
                this.survivingStages.delete(key);
            }
        }
    }

    /** Avoids the backend server while others are available. Its KV cache may still be copied to another server. */
    suspect(backendServer: string): void {
        this.suspects.add(backendServer);
    }

    /** Makes suspected backend servers available again. Returns false if there were none. */
    clearSuspects(): boolean {
        const hadSuspects = this.suspects.size > 0;
        this.suspects.clear();
        return hadSuspects;
    }

    /**
     * Records the KV cache that an attempt left on its stages. An attempt without a token does not replace the record
     * of an earlier attempt.
     */
    recordSurvivingCache(plan: PipelinePlan, attemptId: string, hasToken: boolean): void {
        for (const { backendServer, layers } of plan.stages) {
            const key = `${backendServer} ${formatLayerRange(layers)}`;
            if (this.excludedServers.has(backendServer) || (!hasToken && this.survivingStages.has(key))) {
                continue;
            }
            this.survivingStages.set(key, { backendServer, layers, attemptId, usable: true });
        }
    }

    /** The backend servers that the next plan must not use, including those ejected for all answers. */
    excluded(ejected: ReadonlySet<string>): ReadonlySet<string> {
        return new Set([...this.excludedServers, ...this.suspects, ...ejected]);
    }

    /** Stages with KV cache. Those on suspected or ejected servers are marked as not usable. */
    surviving(ejected: ReadonlySet<string>): SurvivingStage[] {
        return [...this.survivingStages.values()].map(stage => ({
            ...stage,
            usable: !this.suspects.has(stage.backendServer) && !ejected.has(stage.backendServer),
        }));
    }
}
