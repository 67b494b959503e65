/**
 * Sends one HTTP request to one backend server over a new connection. Connections are not reused, so that the bytes of
 * an earlier response cannot be read as part of this one, a stale idle connection is never picked, and a failure before
 * the connection is established proves that nothing was sent.
 *
 * An exchange is the only way to start work on a backend server, and it starts none for a caller that has disconnected
 * or whose deadline has passed, however the code that creates it came to do so.
 */
import { type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import { monotonicNow } from "../../common/clock.js";
import { afterPendingInput } from "../../common/event-loop.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { endsInOrder } from "./orderly-end.js";
import { ResponseFraming, responseFraming } from "./response-framing.js";

export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    readonly body: Buffer | undefined;
    /** Returns alternating names and values in the order in which they are sent; called when the request is sent. */
    headers(): readonly string[];
}

export interface ExchangeOptions {
    readonly connectTimeoutMilliseconds: number;
    /** Monotonic time in milliseconds at which the exchange fails if it is not complete. */
    readonly deadline: number;
    /** Aborted when the caller disconnects, which cancels the exchange; undefined if it serves no caller. */
    readonly callerGone: AbortSignal | undefined;
    /** Is told the head of the response before the listener, whatever becomes of the exchange. */
    readonly responseObserver?: ResponseObserver;
}

export interface ResponseHead {
    readonly status: number;
    /** Keyed by lower-case header name. */
    readonly headers: IncomingMessage["headers"];
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly framing: ResponseFraming;
}

/**
 * Receives the response. The last call reports either completion or failure; after the exchange was cancelled, neither
 * is reported.
 */
export interface ExchangeListener {
    headReceived(head: ResponseHead): void;
    chunkReceived(chunk: Buffer): void;
    /** The response is complete according to its HTTP framing; without any, its connection has ended in order. */
    completed(): void;
    failed(error: ConnectionFailedError): void;
}

/** Of a response, in which servers repeat some headers of the request. Also the runtime's default. */
const maximumHeadBytes = 16_384;
/** Interim responses (status 1xx) precede the response itself; a server needs none or one. */
const maximumInterimResponses = 8;

export class Exchange {
    private request: ClientRequest | undefined;
    private connectTimer: ReturnType<typeof setTimeout> | undefined;
    private deadlineTimer: ReturnType<typeof setTimeout> | undefined;
    private response: IncomingMessage | undefined;
    private interimResponses = 0;
    private connected = false;
    private finished = false;
    private readonly abort = () => this.fail(ConnectionFailure.cancelled);

    constructor(
        private readonly server: ServerEntry,
        private readonly content: ExchangeRequest,
        private readonly options: ExchangeOptions,
        private readonly listener: ExchangeListener,
    ) {
        options.callerGone?.addEventListener("abort", this.abort);
        if (options.callerGone === undefined) {
            this.send();
        }
        else {
            afterPendingInput(() => this.sendIfWanted());
        }
    }

    /** Closes the connection, which makes the backend server abandon the request. */
    cancel(): void {
        this.close();
    }

    /** Closes the connection and reports the failure. */
    fail(failure: ConnectionFailure, cause?: unknown): void {
        if (!this.finished) {
            this.close();
            this.listener.failed(new ConnectionFailedError(this.server.id, failure, this.connected, cause));
        }
    }

    /** Stops reading until `resume` is called, which applies a slow caller's backpressure to the backend server. */
    pause(): void {
        this.response?.pause();
    }

    resume(): void {
        this.response?.resume();
    }

    private sendIfWanted(): void {
        if (this.options.callerGone?.aborted === true) {
            this.fail(ConnectionFailure.cancelled);
        }
        else if (monotonicNow() >= this.options.deadline) {
            this.fail(ConnectionFailure.expired);
        }
        else if (!this.finished) {
            this.send();
        }
    }

    private send(): void {
        const { server, content, options } = this;
        this.connectTimer = setTimeout(
            () => this.fail(ConnectionFailure.silent),
            options.connectTimeoutMilliseconds,
        );
        this.deadlineTimer = setTimeout(
            () => this.fail(this.connected ? ConnectionFailure.silent : ConnectionFailure.expired),
            options.deadline - monotonicNow(),
        );
        try {
            this.request = sendRequest({
                agent: false,
                host: server.address.host,
                port: server.address.port,
                method: content.method,
                path: content.path,
                headers: content.headers(),
                maxHeaderSize: maximumHeadBytes,
            });
        }
        catch (error) {
            // Thrown before a connection is opened. The listener may use the exchange, which the constructor returns first.
            queueMicrotask(() => this.fail(ConnectionFailure.unsendable, error));
            return;
        }
        this.request.on("socket", socket => {
            socket.setNoDelay(true);
            socket.once("connect", () => {
                this.connected = true;
                clearTimeout(this.connectTimer);
            });
        });
        this.request.on("information", () => {
            if (++this.interimResponses > maximumInterimResponses) {
                this.fail(ConnectionFailure.protocol);
            }
        });
        this.request.on("response", response => this.handleResponse(response));
        this.request.on("error", error => this.failUnlessComplete(error));
        // The runtime reports nothing else if a server switches to another protocol.
        this.request.on("close", () => this.failUnlessComplete());
        this.request.end(content.body);
    }

    private failUnlessComplete(cause?: unknown): void {
        if (this.response?.complete !== true) {
            this.fail(this.connected ? ConnectionFailure.broken : ConnectionFailure.refused, cause);
        }
    }

    private handleResponse(response: IncomingMessage): void {
        if (this.finished) {
            return;
        }
        const { statusCode, headers, rawHeaders } = response;
        const status = statusCode ?? 0;
        const framing = responseFraming({ status, headers }, this.content.method);
        if (framing === ResponseFraming.unsupported) {
            this.fail(ConnectionFailure.protocol);
            return;
        }
        this.response = response;
        const endedInOrder = framing === ResponseFraming.untilClose ? endsInOrder(response.socket) : undefined;
        response.on("data", (chunk: Buffer) => {
            if (!this.finished) {
                this.listener.chunkReceived(chunk);
            }
        });
        response.on("end", () => void this.handleEnd(response, endedInOrder));
        response.on("error", error => this.fail(ConnectionFailure.broken, error));
        const head = { status, headers, rawHeaders, framing };
        this.options.responseObserver?.responseReceived(this.server, head);
        this.listener.headReceived(head);
    }

    private async handleEnd({ complete }: IncomingMessage, endedInOrder: Promise<boolean> | undefined): Promise<void> {
        if (complete && (endedInOrder === undefined || await endedInOrder)) {
            this.finishSuccessfully();
        }
        else {
            this.fail(ConnectionFailure.broken);
        }
    }

    private finishSuccessfully(): void {
        if (!this.finished) {
            this.close();
            this.listener.completed();
        }
    }

    private close(): void {
        this.finished = true;
        clearTimeout(this.connectTimer);
        clearTimeout(this.deadlineTimer);
        this.options.callerGone?.removeEventListener("abort", this.abort);
        this.request?.destroy();
    }
}
