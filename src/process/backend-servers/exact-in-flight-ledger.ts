/** Counts this router's own attempts and their expected tokens at every backend server of their plans. */
import type { InFlightCounter } from "../../domain/in-flight-ledger.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { BackendServerRecord } from "./backend-server-record.js";

export class ExactInFlightCounter implements InFlightCounter {
    constructor(private readonly find: (id: string) => BackendServerRecord | undefined) {}

    begin(plan: PipelinePlan, tokens: number): () => void {
        const records = plan.stages.flatMap(stage => this.find(stage.backendServer) ?? []);
        for (const record of records) {
            record.ownAttempts += 1;
            record.ownTokens += tokens;
        }
        return () => {
            for (const record of records.splice(0)) {
                record.ownAttempts -= 1;
                record.ownTokens -= tokens;
            }
        };
    }
}
