/** One run of a stream on one path: checks the answer's head, cuts it into events, and tells how it ended. */
import { Exchange, type ExchangeRequest, type ResponseHead } from "../../connection/gateway/exchange.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ConnectionFailedError } from "../../errors/index.js";
import { AnswerVerdict, judgeAnswer } from "./answer-check.js";
import { EventSplitter, type WholeEvent } from "./event-splitter.js";

export const AttemptEnd = {
    /** The stream came to its end. */
    complete: "complete",
    /** The backend server has not run the request. */
    notRun: "not-run",
    /** It may have run, and broke off or cannot be trusted. */
    broken: "broken",
    /** A whole answer that is no stream: a failure of the backend server's own. */
    failure: "failure",
    /** Ended by the gateway, since it made no progress. */
    stalled: "stalled",
    /** Ended by the gateway, since nobody waits any more. */
    cancelled: "cancelled",
} as const;
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd];

export interface AttemptResult {
    readonly end: AttemptEnd;
    /** For the log. */
    readonly reason: string;
    readonly head?: ResponseHead;
    /** Body of a failure. */
    readonly body?: Buffer;
    /** Servers of the path that take no connection. */
    readonly unreachable?: readonly ServerEntry[];
}

export interface AttemptObserver {
    /** A valid stream begins. */
    streamBegins(head: ResponseHead): void;
    /** False if the event does not follow the last one, which ends the attempt as broken. */
    deliver(event: WholeEvent): boolean;
}

/** A new connection is made in a round trip; longer means a lost packet, a full queue or a lost server. */
const connectTimeoutMilliseconds = 300;
const lowestFailure = 400;

export class StreamAttempt {
    private readonly splitter = new EventSplitter();
    private readonly exchange: Exchange;
    private settle!: (result: AttemptResult) => void;
    private head: ResponseHead | undefined;
    private readonly failureBody: Buffer[] = [];
    /** Settled once, however the attempt ends. */
    readonly result: Promise<AttemptResult> = new Promise(resolve => {
        this.settle = resolve;
    });

    constructor(
        server: ServerEntry,
        request: ExchangeRequest,
        private readonly requestId: string,
        private readonly names: HeaderNames,
        private readonly observer: AttemptObserver,
    ) {
        this.exchange = new Exchange(server, request, connectTimeoutMilliseconds, {
            headReceived: head => this.judge(head),
            chunkReceived: chunk => this.receive(chunk),
            completed: () => this.complete(),
            failed: error => this.fail(error),
        });
    }

    /** Ends the attempt; the backend server drops the request when its connection closes. */
    cancel(reason: string): void {
        this.finish({ end: AttemptEnd.cancelled, reason });
    }

    /** Ends the attempt for want of progress; servers that do not answer are named. */
    giveUp(reason: string, unreachable: readonly ServerEntry[]): void {
        this.finish({ end: AttemptEnd.stalled, reason, unreachable });
    }

    pause(): void {
        this.exchange.pause();
    }

    resume(): void {
        this.exchange.resume();
    }

    private judge(head: ResponseHead): void {
        this.head = head;
        const verdict = judgeAnswer(head, this.requestId, this.names);
        if (verdict === AnswerVerdict.notRun) {
            this.finish({ end: AttemptEnd.notRun, reason: `status ${head.status}`, head });
        }
        else if (verdict === AnswerVerdict.invalid) {
            this.finish({ end: AttemptEnd.broken, reason: "invalid answer", head });
        }
        else if (head.status < lowestFailure) {
            this.observer.streamBegins(head);
        }
    }

    private receive(chunk: Buffer): void {
        if (this.head!.status >= lowestFailure) {
            this.failureBody.push(chunk);
            return;
        }
        for (const event of this.splitter.push(chunk)) {
            if (!this.observer.deliver(event)) {
                this.finish({ end: AttemptEnd.broken, reason: `event ${event.id} out of order` });
                return;
            }
        }
        if (this.splitter.overflowed) {
            this.finish({ end: AttemptEnd.broken, reason: "an event without end" });
        }
    }

    private complete(): void {
        if (this.head!.status >= lowestFailure) {
            const body = Buffer.concat(this.failureBody);
            this.finish({ end: AttemptEnd.failure, reason: `status ${this.head!.status}`, head: this.head!, body });
        }
        else if (this.splitter.hasRest) {
            this.finish({ end: AttemptEnd.broken, reason: "ended within an event" });
        }
        else {
            this.finish({ end: AttemptEnd.complete, reason: "complete" });
        }
    }

    private fail(error: ConnectionFailedError): void {
        const end = error.bytesWritten ? AttemptEnd.broken : AttemptEnd.notRun;
        this.finish({ end, reason: `connection ${error.failure}` });
    }

    private finish(result: AttemptResult): void {
        this.exchange.cancel();
        this.settle(result);
    }
}
