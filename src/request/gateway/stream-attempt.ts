/**
 * One attempt of a streaming request on one path: validates the response head, splits the body into events, and reports
 * how the attempt ended.
 */
import { ByteCollector } from "../../common/byte-collector.js";
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary } from "../../common/failure-boundary.js";
import type { MemoryLedger } from "../../common/memory-ledger.js";
import {
    Exchange,
    type ExchangeOptions,
    type ExchangeRequest,
    type ResponseHead,
} from "../../connection/gateway/exchange.js";
import { ResponseFraming } from "../../connection/gateway/response-framing.js";
import { SmallChunkLimit } from "../../connection/gateway/small-chunk-limit.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { type ConnectionFailedError, ConnectionFailure, MemoryShortageError } from "../../errors/index.js";
import type { EventBatch, EventFields, EventSequence, SequenceFault } from "./event-sequence.js";
import { EventSplitter } from "./event-splitter.js";
import { checkResponse, ResponseVerdict } from "./response-check.js";

export const AttemptEnd = {
    /** The stream ended, and neither inside an event nor before the caller has one; without framing, after an event of its own. */
    complete: "complete",
    /** The backend server did not run the request. */
    notRun: "not-run",
    /** The request may have run, and the response broke off or is invalid. */
    broken: "broken",
    /** The backend server sent a complete error response instead of a stream. */
    failure: "failure",
    /** Ended by the gateway because a server of its path was lost and a new run has taken its place. */
    lost: "lost",
    /** Ended by the gateway because another run of the request has delivered the next event. */
    superseded: "superseded",
    /** Ended by the gateway because the caller disconnected or the deadline passed. */
    cancelled: "cancelled",
} as const;
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd];

export interface AttemptResult {
    readonly end: AttemptEnd;
    /** Cause, for the log and for the error message if this was the last attempt. */
    readonly reason: string;
    readonly head?: ResponseHead;
    /** Body of an error response, if `end` is `failure`. */
    readonly body?: Buffer;
    /** How the connection failed, or `protocol` for an invalid response; undefined if neither, or if the gateway ended it. */
    readonly connectionFailure?: ConnectionFailure;
    /** Whether a valid response head of a stream has arrived. */
    readonly streamStarted: boolean;
    /** Complete events that this attempt has delivered. */
    readonly deliveredEvents: number;
    /** Whether the attempt has shown that its server survives the request: it is complete, or has run for long enough. */
    readonly survived: boolean;
}

/** What the response must be to answer the request. */
export interface ExpectedResponse {
    readonly requestId: string;
    readonly headerNames: HeaderNames;
    /** Shared by all runs of the request. */
    readonly events: EventSequence;
}

export interface AttemptObserver {
    /** Called when a valid response head of a stream has arrived. */
    streamStarted(head: ResponseHead): void;
    deliver(events: EventBatch): void;
    /** Called once, as soon as it is known that the server survives the request. */
    survived(): void;
    /** Resolves to whether the stream's servers have not ended it early. Asked where the end itself does not tell. */
    isEndOfStream(): Promise<boolean>;
    /** Called when the stream is complete, with the bytes after the last event. */
    streamEnded(rest: Buffer): void;
}

/** Connecting takes one round trip; a longer time means a lost packet, a full accept queue or a lost server. */
const connectTimeoutMilliseconds = 300;
const lowestErrorStatus = 400;
/** A server that crashes under a prompt does so as it begins the answer; one that goes on for this long survives it. */
const survivalMilliseconds = 1_000;
/** An error response is buffered, so that another attempt can replace it. */
const maximumErrorBodyBytes = 1_000_000;

export class StreamAttempt {
    private readonly splitter = new EventSplitter();
    private readonly smallChunks = new SmallChunkLimit();
    private readonly exchange: Exchange;
    private resolveResult!: (result: AttemptResult) => void;
    private head: ResponseHead | undefined;
    private readonly errorBody: ByteCollector;
    private streamStarted = false;
    private deliveredEvents = 0;
    private firstEventAt: number | undefined;
    private survived = false;
    private finished = false;
    private readonly boundary: FailureBoundary;
    /** Resolves once, however the attempt ends; never rejects. */
    readonly result: Promise<AttemptResult> = new Promise(resolve => {
        this.resolveResult = resolve;
    });

    constructor(
        server: ServerEntry,
        request: ExchangeRequest,
        private readonly expected: ExpectedResponse,
        private readonly observer: AttemptObserver,
        limits: Omit<ExchangeOptions, "connectTimeoutMilliseconds">,
        /** Accounts for the body of an error response until its scope is closed. */
        memory?: MemoryLedger,
    ) {
        this.errorBody = new ByteCollector(
            memory?.open({
                kind: "error response",
                owner: server.id,
                end: error => this.finish({ end: AttemptEnd.broken, reason: error.message }),
            }),
        );
        this.boundary = limits.failures.createBoundary(
            "stream attempt",
            () => this.finish({ end: AttemptEnd.broken, reason: "unexpected failure of the attempt" }),
            { server: server.id },
        );
        this.exchange = new Exchange(server, request, { ...limits, connectTimeoutMilliseconds }, {
            headReceived: head => this.handleHead(head),
            bytesReceived: (bytes, chunkCount) => this.handleBytes(bytes, chunkCount),
            completed: () => this.complete(),
            failed: error => this.handleFailure(error),
        });
    }

    get hasDelivered(): boolean {
        return this.deliveredEvents > 0;
    }

    /** Ends the attempt on behalf of the gateway; the backend server is made to abandon it. */
    end(end: AttemptEnd, reason: string): void {
        this.finish({ end, reason });
    }

    pause(): void {
        this.exchange.pause();
    }

    resume(): void {
        this.exchange.resume();
    }

    private handleHead(head: ResponseHead): void {
        this.head = head;
        const verdict = checkResponse(head, this.expected.requestId, this.expected.headerNames);
        if (verdict === ResponseVerdict.notRun) {
            this.finish({ end: AttemptEnd.notRun, reason: `status ${head.status}`, head });
        }
        else if (verdict === ResponseVerdict.invalid) {
            this.finishInvalid("response failed validation");
        }
        else if (head.status < lowestErrorStatus) {
            this.streamStarted = true;
            this.observer.streamStarted(head);
        }
    }

    private handleBytes(bytes: Buffer, chunkCount: number): void {
        if (this.smallChunks.isExceededBy(bytes, chunkCount)) {
            this.finishInvalid("too many small chunks");
            return;
        }
        if (this.head!.status >= lowestErrorStatus) {
            this.collectError(bytes);
            return;
        }
        const fault = this.deliverEvents(bytes);
        if (fault !== undefined) {
            this.finishOutOfSequence(fault);
        }
        else if (this.splitter.exceedsMaximumSize) {
            this.finishInvalid("unterminated event exceeds the maximum event size");
        }
    }

    /** Delivers the events that are now complete, up to the first that can't be the next one; returns why it can't. */
    private deliverEvents(bytes: Buffer): SequenceFault | undefined {
        let count = 0;
        let lastId = 0;
        let fault: SequenceFault | undefined;
        const take = (event: EventFields) => {
            fault = this.expected.events.take(event);
            if (fault === undefined) {
                count++;
                lastId = event.id!;
            }
            return fault === undefined;
        };
        const taken = this.splitter.push(bytes, take);
        if (count > 0) {
            this.observer.deliver({ bytes: taken, count, lastId });
            this.smallChunks.reset();
            this.recordDelivery(count);
        }
        return fault;
    }

    private collectError(bytes: Buffer): void {
        if (this.errorBody.bytes + bytes.length > maximumErrorBodyBytes) {
            this.finishInvalid("error response exceeds the maximum size");
            return;
        }
        try {
            this.errorBody.append(bytes);
        }
        catch (error) {
            if (!(error instanceof MemoryShortageError)) {
                throw error;
            }
            this.finish({ end: AttemptEnd.broken, reason: error.message });
        }
    }

    private recordDelivery(count: number): void {
        const now = monotonicNow();
        this.deliveredEvents += count;
        this.firstEventAt ??= now;
        if (now - this.firstEventAt >= survivalMilliseconds) {
            this.recordSurvival();
        }
    }

    private recordSurvival(): void {
        if (!this.survived) {
            this.survived = true;
            this.observer.survived();
        }
    }

    private complete(): void {
        if (this.head!.status >= lowestErrorStatus) {
            const body = this.errorBody.take();
            this.finish({ end: AttemptEnd.failure, reason: `status ${this.head!.status}`, head: this.head!, body });
        }
        else if (this.splitter.hasIncompleteEvent) {
            this.finishBrokenOff("response ended inside an event");
        }
        else if (this.head!.framing === ResponseFraming.untilClose) {
            this.boundary.run(() => this.completeWithoutFraming());
        }
        else if (!this.expected.events.hasBegun) {
            this.finishInvalid("stream without an event");
        }
        else {
            this.finishComplete();
        }
    }

    private async completeWithoutFraming(): Promise<void> {
        if (this.deliveredEvents === 0) {
            this.finishBrokenOff("connection ended before the first event");
        }
        else if (await this.observer.isEndOfStream()) {
            this.finishComplete();
        }
        else {
            this.finishBrokenOff("a backend server on the path no longer computes its layers");
        }
    }

    private finishComplete(): void {
        if (!this.finished) {
            this.observer.streamEnded(this.splitter.takeRest());
            this.recordSurvival();
            this.finish({ end: AttemptEnd.complete, reason: "complete" });
        }
    }

    private handleFailure({ failure, bytesWritten, reason }: ConnectionFailedError): void {
        const endedByGateway = gatewayReason(failure, bytesWritten);
        if (endedByGateway !== undefined) {
            this.finish({ end: AttemptEnd.cancelled, reason: endedByGateway });
            return;
        }
        this.finish({
            end: bytesWritten ? AttemptEnd.broken : AttemptEnd.notRun,
            reason,
            connectionFailure: failure,
        });
    }

    /** Ends an attempt because of what its server has sent. */
    private finishInvalid(reason: string): void {
        this.finish({ end: AttemptEnd.broken, reason, connectionFailure: ConnectionFailure.protocol });
    }

    private finishOutOfSequence({ reason, restsOnCaller }: SequenceFault): void {
        if (restsOnCaller) {
            // Such a response is not held against its server, which every caller could bring about.
            this.finish({ end: AttemptEnd.broken, reason });
        }
        else {
            this.finishInvalid(reason);
        }
    }

    /** Ends an attempt whose connection the server has closed in order, but too early. */
    private finishBrokenOff(reason: string): void {
        this.finish({ end: AttemptEnd.broken, reason, connectionFailure: ConnectionFailure.broken });
    }

    private finish(result: Omit<AttemptResult, "streamStarted" | "deliveredEvents" | "survived">): void {
        this.finished = true;
        this.exchange.cancel();
        this.errorBody.release();
        const { streamStarted, deliveredEvents, survived } = this;
        this.resolveResult({ ...result, streamStarted, deliveredEvents, survived });
    }
}

/** Why the gateway itself ended the attempt; undefined if the connection failed. */
function gatewayReason(failure: ConnectionFailure, connected: boolean): string | undefined {
    if (failure === ConnectionFailure.cancelled) {
        return "caller disconnected";
    }
    return failure === ConnectionFailure.expired || (failure === ConnectionFailure.silent && connected)
        ? "request deadline passed"
        : undefined;
}
