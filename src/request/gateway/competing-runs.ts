/**
 * The runs of one stream: usually one; two while a suspected run and the new run that may replace it compete to deliver the
 * next event.
 */
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import { InternalError } from "../../errors/index.js";
import { AttemptEnd, type AttemptResult } from "./stream-attempt.js";

export interface CompetingRun {
    /** Resolves once, however the run ends; never rejects. */
    readonly result: Promise<AttemptResult>;
    end(end: AttemptEnd, reason: string): void;
}

export interface EndedRun<Run> {
    readonly run: Run;
    readonly result: AttemptResult;
}

export class CompetingRuns<Run extends CompetingRun> {
    private readonly running = new Set<Run>();
    private readonly ended: EndedRun<Run>[] = [];
    private reportEnd: (() => void) | undefined;
    private failure: InternalError | undefined;
    private readonly boundary: FailureBoundary;

    constructor(failures: FailureReporter) {
        this.boundary = failures.createBoundary("stream run", error => this.fail(error));
    }

    /** Whether no run goes on, and the end of each has been returned by `nextEnd`. */
    get allEnded(): boolean {
        return this.running.size === 0 && this.ended.length === 0;
    }

    /** `onEnd` is called as soon as the run has ended, also if another run has ended it. */
    add(run: Run, onEnd: (result: AttemptResult) => void = () => undefined): void {
        this.running.add(run);
        this.boundary.run(async () => {
            const result = await run.result;
            onEnd(result);
            this.running.delete(run);
            this.ended.push({ run, result });
            this.reportEnd?.();
        });
    }

    /** Returns the other run, if there is one. */
    rivalOf(run: Run): Run | undefined {
        return [...this.running].find(candidate => candidate !== run);
    }

    /** Ends the other run, if there is one. */
    endRivalOf(run: Run, end: AttemptEnd, reason: string): void {
        const rival = this.rivalOf(run);
        if (rival !== undefined) {
            this.running.delete(rival);
            rival.end(end, reason);
        }
    }

    endAll(): void {
        this.running.forEach(run => run.end(AttemptEnd.cancelled, "the request has ended"));
    }

    /**
     * Resolves to the next run that has ended, in the order in which they ended. Rejects with InternalError after an
     * unexpected failure, since the end of a run may then have been missed.
     */
    async nextEnd(): Promise<EndedRun<Run>> {
        if (this.ended.length === 0 && this.failure === undefined) {
            await new Promise<void>(resolve => {
                this.reportEnd = resolve;
            });
        }
        if (this.failure !== undefined) {
            throw this.failure;
        }
        return this.ended.shift()!;
    }

    private fail(cause: unknown): void {
        this.failure = new InternalError("The end of a stream's run could not be handled.", cause);
        this.reportEnd?.();
    }
}
