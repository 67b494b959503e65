/** Record of the attempts, runs and orders that an engine executed, from which tests check invariants. */
import type { AttemptRequest, PlacementOrder } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import { maximumRecordEntries } from "./constants.js";

/** One computation of a layer range for one position. */
export interface LayerRun {
    readonly attemptId: string;
    readonly planId: string;
    readonly requestId: string;
    readonly position: number;
    readonly layers: LayerRange;
    /** Number of tokens computed; more than one if the run included a prefix. */
    readonly tokens: number;
}

/** An attempt that the engine received as its first stage, at a monotonic time in milliseconds. */
export interface ReceivedAttempt {
    readonly request: AttemptRequest;
    readonly receivedAt: number;
}

export class EngineRecord {
    readonly attempts: ReceivedAttempt[] = [];
    readonly runs: LayerRun[] = [];
    /** Orders that took effect, in order of completion. */
    readonly completedOrders: PlacementOrder[] = [];

    addAttempt(attempt: ReceivedAttempt): void {
        appendBounded(this.attempts, attempt);
    }

    addRun(run: LayerRun): void {
        appendBounded(this.runs, run);
    }

    /** Whether this engine ran any layer for a request. */
    hasRunRequest(requestId: string): boolean {
        return this.runs.some(run => run.requestId === requestId);
    }
}

function appendBounded<Entry>(entries: Entry[], entry: Entry): void {
    entries.push(entry);
    if (entries.length > maximumRecordEntries) {
        entries.splice(0, maximumRecordEntries / 2);
    }
}
