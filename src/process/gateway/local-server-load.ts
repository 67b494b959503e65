/**
 * Counts the running requests of this router on each backend server, and what is left of them: a stream counts with its
 * prompt and the output that is expected in view of what it has generated so far, a plain request with the run time that is
 * expected to be left after the time that it has run.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RunningLoad, ServerLoads, WorkLeft } from "../../domain/gateway/placement-notice.js";
import type { OutputEstimate, RunTimeEstimate } from "../request-costs/types.js";

export interface RunningStream {
    /** Records how many output tokens the stream has generated in all. */
    recordOutput(generatedTokens: number): void;
    /** Ends the count; further calls have no effect. */
    end(): void;
}

interface RunningPlainRequest {
    readonly startedAt: number;
    readonly runTime: RunTimeEstimate;
}

export class LocalServerLoad {
    private readonly loadsByServer = new Map<string, RunningLoad>();
    private readonly plainRequests = new Map<string, Set<RunningPlainRequest>>();

    get all(): ServerLoads {
        return this.loadsByServer;
    }

    requests(serverId: string): number {
        return this.loadsByServer.get(serverId)?.requests ?? 0;
    }

    /** Prompt tokens and expected output tokens of the running requests. */
    tokens(serverId: string): number {
        return this.loadsByServer.get(serverId)?.tokens ?? 0;
    }

    /** Run time in milliseconds that the running plain requests are expected to need yet. */
    workMilliseconds(serverId: string): number {
        const now = monotonicNow();
        let work = 0;
        for (const { startedAt, runTime } of this.plainRequests.get(serverId) ?? []) {
            work += runTime.expectedAfter(now - startedAt) - (now - startedAt);
        }
        return work;
    }

    /** Work left on every server that runs plain requests. */
    get allWork(): WorkLeft {
        return new Map([...this.plainRequests.keys()].map(id => [id, this.workMilliseconds(id)]));
    }

    /** Counts a request on each of the servers until the returned function is called; further calls have no effect. */
    beginRequest(serverIds: readonly string[], tokens: number): () => void {
        serverIds.forEach(id => this.change(id, 1, tokens));
        let ended = false;
        return () => {
            if (!ended) {
                ended = true;
                serverIds.forEach(id => this.change(id, -1, -tokens));
            }
        };
    }

    /** Counts a stream on each of the servers. */
    beginStream(serverIds: readonly string[], promptTokens: number, output: OutputEstimate): RunningStream {
        let tokens = wholeTokens(promptTokens, output, 0);
        let ended = false;
        serverIds.forEach(id => this.change(id, 1, tokens));
        return {
            recordOutput: generatedTokens => {
                const expected = wholeTokens(promptTokens, output, generatedTokens);
                if (!ended && expected !== tokens) {
                    serverIds.forEach(id => this.change(id, 0, expected - tokens));
                    tokens = expected;
                }
            },
            end: () => {
                if (!ended) {
                    ended = true;
                    serverIds.forEach(id => this.change(id, -1, -tokens));
                }
            },
        };
    }

    /** Counts a plain request on the server until the returned function is called; further calls have no effect. */
    beginPlainRequest(serverId: string, runTime: RunTimeEstimate): () => void {
        const request: RunningPlainRequest = { startedAt: monotonicNow(), runTime };
        const running = this.plainRequests.get(serverId) ?? new Set();
        this.plainRequests.set(serverId, running.add(request));
        const endRequest = this.beginRequest([serverId], 0);
        return () => {
            endRequest();
            running.delete(request);
            if (running.size === 0 && this.plainRequests.get(serverId) === running) {
                this.plainRequests.delete(serverId);
            }
        };
    }

    private change(id: string, requests: number, tokens: number): void {
        const before = this.loadsByServer.get(id);
        const load = { requests: (before?.requests ?? 0) + requests, tokens: (before?.tokens ?? 0) + tokens };
        if (load.requests === 0) {
            this.loadsByServer.delete(id);
        }
        else {
            this.loadsByServer.set(id, load);
        }
    }
}

/** Whole tokens take fewer bytes in notices, and sums of them have no rounding errors. */
function wholeTokens(promptTokens: number, output: OutputEstimate, generatedTokens: number): number {
    return Math.round(promptTokens + output.expectedAfter(generatedTokens));
}
