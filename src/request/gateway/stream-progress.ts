/** What a caller has of a stream, over all runs: the head of the first, and events in order without gap or repetition. */
import { monotonicNow } from "../../common/clock.js";
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import type { CallerResponse } from "./caller-response.js";
import type { WholeEvent } from "./event-splitter.js";
import type { StallWatch } from "./stall-watch.js";
import type { AttemptObserver, StreamAttempt } from "./stream-attempt.js";

export class StreamProgress implements AttemptObserver {
    private attempt: StreamAttempt | undefined;
    private watch: StallWatch | undefined;
    private lastId: string | undefined;
    private firstEventAt: number | undefined;
    private newestEventAt: number | undefined;
    private longestPause = 0;

    constructor(private readonly response: CallerResponse) {}

    /** Monotonic time of the first event. */
    get begunAt(): number | undefined {
        return this.firstEventAt;
    }

    /** Monotonic time of the last event. */
    get lastEventAt(): number | undefined {
        return this.newestEventAt;
    }

    /** Longest pause between two events so far, in milliseconds. */
    get longestPauseMilliseconds(): number {
        return this.longestPause;
    }

    get lastEventId(): string | undefined {
        return this.lastId;
    }

    attach(attempt: StreamAttempt, watch: StallWatch): void {
        this.attempt = attempt;
        this.watch = watch;
    }

    streamBegins(head: ResponseHead): void {
        if (!this.response.begun) {
            this.response.beginStream(head);
        }
    }

    deliver(event: WholeEvent): boolean {
        if (event.id !== undefined && this.lastId !== undefined && Number(event.id) !== Number(this.lastId) + 1) {
            return false;
        }
        this.lastId = event.id ?? this.lastId;
        this.notePause();
        this.watch?.progressed();
        if (!this.response.write(event.bytes)) {
            this.waitForCaller();
        }
        return true;
    }

    private notePause(): void {
        const now = monotonicNow();
        this.firstEventAt ??= now;
        this.longestPause = Math.max(this.longestPause, now - (this.newestEventAt ?? now));
        this.newestEventAt = now;
    }

    private waitForCaller(): void {
        const { attempt, watch } = this;
        attempt?.pause();
        watch?.suspend();
        this.response.drained(() => {
            watch?.progressed();
            attempt?.resume();
        });
    }

    end(): void {
        this.response.endStream();
    }
}
