/** What an engine really ran, kept for the invariants that tests check. */
import type { AttemptRequest, PlacementOrder } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import { recordLimit } from "./constants.js";

/** One run of a layer range for one position. */
export interface LayerRun {
    readonly attemptId: string;
    readonly planId: string;
    readonly requestId: string;
    readonly position: number;
    readonly layers: LayerRange;
    /** More than one when a prefix was computed. */
    readonly tokens: number;
}

/** An attempt that reached the engine as first stage. */
export interface ReceivedAttempt {
    readonly request: AttemptRequest;
    readonly at: number;
}

export class EngineRecord {
    readonly attempts: ReceivedAttempt[] = [];
    readonly runs: LayerRun[] = [];
    /** Orders that took effect, in order. */
    readonly completedOrders: PlacementOrder[] = [];

    addAttempt(attempt: ReceivedAttempt): void {
        append(this.attempts, attempt);
    }

    addRun(run: LayerRun): void {
        append(this.runs, run);
    }

    /** Whether any layer ran here for a request. */
    ranRequest(requestId: string): boolean {
        return this.runs.some(run => run.requestId === requestId);
    }
}

function append<Entry>(entries: Entry[], entry: Entry): void {
    entries.push(entry);
    if (entries.length > recordLimit) {
        entries.splice(0, recordLimit / 2);
    }
}
