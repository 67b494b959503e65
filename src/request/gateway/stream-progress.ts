/**
 * Tracks what the caller has received of a stream over all runs: the head of the run that delivered the first event, and
 * events in order without gaps or duplicates. The head is held back until there is an event to send, so that a request
 * whose runs all end before that is answered with an error instead of a truncated stream.
 */
import { monotonicNow } from "../../common/clock.js";
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import type { CallerResponse } from "./caller-response.js";
import type { EventBatch } from "./event-sequence.js";

/** The run that delivers events. */
export interface EventSource {
    /** Stops events until `resume` is called. */
    pause(): void;
    resume(): void;
}

export class StreamProgress {
    private lastId: number | undefined;
    private firstDeliveredAt: number | undefined;
    private lastDeliveredAt: number | undefined;
    private longestPause = 0;
    private delivered = 0;

    constructor(private readonly response: CallerResponse) {}

    /** Monotonic time of the first event in milliseconds; undefined before it. */
    get firstEventAt(): number | undefined {
        return this.firstDeliveredAt;
    }

    /** Monotonic time of the last event in milliseconds; undefined before the first one. */
    get lastEventAt(): number | undefined {
        return this.lastDeliveredAt;
    }

    /** Longest pause between two events so far, in milliseconds. */
    get longestPauseMilliseconds(): number {
        return this.longestPause;
    }

    /** Events that the caller has received of all runs. */
    get deliveredEvents(): number {
        return this.delivered;
    }

    /** ID of the last event that the caller has received; undefined before the first one. */
    get lastEventId(): string | undefined {
        return this.lastId?.toString();
    }

    /** Writes the head unless that of an earlier run has been written. */
    beginStream(head: ResponseHead): void {
        if (!this.response.started) {
            this.response.beginStream(head);
        }
    }

    deliver({ bytes, count, lastId }: EventBatch, source: EventSource): void {
        this.lastId = lastId;
        this.delivered += count;
        this.recordEventTime();
        if (!this.response.write(bytes)) {
            source.pause();
            this.response.onceDrained(() => source.resume());
        }
    }

    writeRest(rest: Buffer): void {
        if (rest.length > 0) {
            this.response.write(rest);
        }
    }

    private recordEventTime(): void {
        const now = monotonicNow();
        this.firstDeliveredAt ??= now;
        this.longestPause = Math.max(this.longestPause, now - (this.lastDeliveredAt ?? now));
        this.lastDeliveredAt = now;
    }

    end(): void {
        this.response.endStream();
    }
}
