/** Counts this router's own attempts and their expected layer tokens at every backend server of their plans. */
import type { InFlightLedger } from "../../domain/in-flight-ledger.js";
import { layerCount } from "../../domain/layers.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { BackendServerRecord } from "./backend-server-record.js";

export class ExactInFlightLedger implements InFlightLedger {
    constructor(private readonly find: (id: string) => BackendServerRecord | undefined) {}

    begin(plan: PipelinePlan, tokens: number): () => void {
        const counts = plan.stages.flatMap(stage => {
            const record = this.find(stage.backendServer);
            return record === undefined ? [] : [{ record, layerTokens: tokens * layerCount(stage.layers) }];
        });
        for (const { record, layerTokens } of counts) {
            record.ownAttempts += 1;
            record.ownLayerTokens += layerTokens;
        }
        return () => {
            for (const { record, layerTokens } of counts.splice(0)) {
                record.ownAttempts -= 1;
                record.ownLayerTokens -= layerTokens;
            }
        };
    }
}
