/**
 * Tracks what the caller has received of a stream over all attempts: the head of the response that delivered the first
 * event, and events in order without gaps or duplicates. The head is held back until there is an event to send, so that
 * a request whose attempts all end before that is answered with an error instead of a truncated stream.
 */
import { monotonicNow } from "../../common/clock.js";
import type { ResponseHead } from "../../connection/gateway/exchange.js";
import type { CallerResponse } from "./caller-response.js";
import type { CompleteEvent } from "./event-splitter.js";
import type { StallDetector } from "./stall-detector.js";
import type { AttemptObserver, StreamAttempt } from "./stream-attempt.js";

export class StreamProgress implements AttemptObserver {
    private attempt: StreamAttempt | undefined;
    private stallDetector: StallDetector | undefined;
    /** Head of the current attempt's response; undefined before it has arrived. */
    private head: ResponseHead | undefined;
    private lastId: string | undefined;
    private firstDeliveredAt: number | undefined;
    private lastDeliveredAt: number | undefined;
    private longestPause = 0;

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

    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** Sets the attempt that now delivers events and the stall detector that monitors it. */
    attach(attempt: StreamAttempt, stallDetector: StallDetector): void {
        this.attempt = attempt;
        this.stallDetector = stallDetector;
    }

    streamStarted(head: ResponseHead): void {
        this.head = head;
    }

    deliver(event: CompleteEvent): boolean {
        if (event.id !== undefined && this.lastId !== undefined && Number(event.id) !== Number(this.lastId) + 1) {
            return false;
        }
        this.lastId = event.id ?? this.lastId;
        this.recordEventTime();
        this.beginResponse();
        this.stallDetector?.recordProgress();
        if (!this.response.write(event.bytes)) {
            this.pauseUntilDrained();
        }
        return true;
    }

    streamEnded(rest: Buffer): void {
        this.beginResponse();
        if (rest.length > 0) {
            this.response.write(rest);
        }
    }

    private beginResponse(): void {
        if (!this.response.started) {
            this.response.beginStream(this.head!);
        }
    }

    private recordEventTime(): void {
        const now = monotonicNow();
        this.firstDeliveredAt ??= now;
        this.longestPause = Math.max(this.longestPause, now - (this.lastDeliveredAt ?? now));
        this.lastDeliveredAt = now;
    }

    private pauseUntilDrained(): void {
        const { attempt, stallDetector } = this;
        attempt?.pause();
        stallDetector?.suspend();
        this.response.onceDrained(() => {
            stallDetector?.recordProgress();
            attempt?.resume();
        });
    }

    end(): void {
        this.response.endStream();
    }
}
