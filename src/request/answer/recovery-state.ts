/**
 * What an answer has learnt from its failed attempts: which backend servers it must avoid, and where KV cache of it is
 * left.
 */
import { formatLayerRange } from "../../domain/layers.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { SurvivingStage } from "../pipeline-choice/types.js";

export class RecoveryState {
    private readonly failed = new Set<string>();
    private readonly suspected = new Set<string>();
    private readonly survivors = new Map<string, SurvivingStage>();

    /** Never uses the backend server or its KV cache again for this answer. */
    exclude(backendServer: string): void {
        this.failed.add(backendServer);
        for (const [key, survivor] of this.survivors) {
            if (survivor.backendServer === backendServer) {
                this.survivors.delete(key);
            }
        }
    }

    /** Avoids the backend server while others can do the work; its KV cache may still be moved. */
    suspect(backendServer: string): void {
        this.suspected.add(backendServer);
    }

    /** Forgets suspicions, when nothing else is left to try. False when there were none. */
    forgetSuspicions(): boolean {
        const any = this.suspected.size > 0;
        this.suspected.clear();
        return any;
    }

    /** Remembers the KV cache that an attempt left on its stages. */
    keepCache(plan: PipelinePlan, attemptId: string, madeProgress: boolean): void {
        for (const { backendServer, layers } of plan.stages) {
            const key = `${backendServer} ${formatLayerRange(layers)}`;
            if (this.failed.has(backendServer) || (!madeProgress && this.survivors.has(key))) {
                continue;
            }
            this.survivors.set(key, { backendServer, layers, attemptId, usable: true });
        }
    }

    /** Backend servers to leave out of the next plan, with those that are ejected for all. */
    excluded(ejected: ReadonlySet<string>): ReadonlySet<string> {
        return new Set([...this.failed, ...this.suspected, ...ejected]);
    }

    surviving(ejected: ReadonlySet<string>): SurvivingStage[] {
        return [...this.survivors.values()].map(stage => ({
            ...stage,
            usable: !this.suspected.has(stage.backendServer) && !ejected.has(stage.backendServer),
        }));
    }
}
