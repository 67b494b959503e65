/** What a caller has of a stream, over all runs: the head of the first, and events in order without gap or repetition. */
import type { ExchangeHead } from "../../connection/gateway/exchange.js";
import type { CallerResponse } from "./caller-response.js";
import type { WholeEvent } from "./event-splitter.js";
import type { StallWatch } from "./stall-watch.js";
import type { AttemptObserver, StreamAttempt } from "./stream-attempt.js";

export class StreamProgress implements AttemptObserver {
    private attempt: StreamAttempt | undefined;
    private watch: StallWatch | undefined;
    private lastId: string | undefined;

    constructor(private readonly response: CallerResponse) {}

    get lastEventId(): string | undefined {
        return this.lastId;
    }

    attach(attempt: StreamAttempt, watch: StallWatch): void {
        this.attempt = attempt;
        this.watch = watch;
    }

    streamBegins(head: ExchangeHead): void {
        if (!this.response.begun) {
            this.response.beginStream(head);
        }
    }

    deliver(event: WholeEvent): boolean {
        if (event.id !== undefined && this.lastId !== undefined && Number(event.id) !== Number(this.lastId) + 1) {
            return false;
        }
        this.lastId = event.id ?? this.lastId;
        this.watch?.progressed();
        if (!this.response.write(event.bytes)) {
            this.waitForCaller();
        }
        return true;
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
