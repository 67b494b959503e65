/**
 * Counts this router's in-flight attempts and their expected tokens on every backend server of their pipeline plans.
 * Ending an attempt more than once has no effect.
 */
import type { InFlightCounter } from "../../domain/in-flight-counter.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { BackendServerRecord } from "./backend-server-record.js";

export class ExactInFlightCounter implements InFlightCounter {
    constructor(private readonly findRecord: (id: string) => BackendServerRecord | undefined) {}

    begin(plan: PipelinePlan, tokens: number): () => void {
        const records = plan.stages.flatMap(stage => this.findRecord(stage.backendServer) ?? []);
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
