/**
 * Sends one HTTP request to one backend server over a new connection. Connections are not reused, so that the bytes of
 * an earlier response cannot be read as part of this one, a stale idle connection is never picked, and a failure before
 * the connection is established proves that nothing was sent.
 *
 * An exchange is the only way to start work on a backend server, and it starts none for a caller that has disconnected
 * or whose deadline has passed, however the code that creates it came to do so.
 */
import {
    type ClientRequest,
    type IncomingMessage,
    request as sendRequest,
    validateHeaderName,
    validateHeaderValue,
} from "node:http";
import type { Socket } from "node:net";
import { monotonicNow } from "../../common/clock.js";
import { afterPendingInput } from "../../common/event-loop.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import { isFinalStatus } from "../../common/http-status.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { isListenerGone } from "./connection-probe.js";
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
    readonly failures: FailureReporter;
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
    /** Receives the next bytes of the body, which came in so many chunks; called once for each read of the connection. */
    bytesReceived(bytes: Buffer, chunkCount: number): void;
    /**
     * The response is complete according to its HTTP framing; without any, its connection has ended in order, and its server
     * still listens.
     */
    completed(): void;
    failed(error: ConnectionFailedError): void;
}

/** Of a response, in which servers repeat some headers of the request. Also the runtime's default. */
const maximumHeadBytes = 16_384;
/** Of a head and of the interim responses before it, which are short. */
const maximumBytesWithoutHead = 2 * maximumHeadBytes;
/** Size of the runtime's read buffer; after a read that fills it, the runtime reads on in the same turn of the event loop. */
const readBufferBytes = 65_536;
/** Interim responses (status 1xx) precede the response itself; a server needs none or one. */
const maximumInterimResponses = 8;

export class Exchange {
    private request: ClientRequest | undefined;
    private connectTimer: ReturnType<typeof setTimeout> | undefined;
    private deadlineTimer: ReturnType<typeof setTimeout> | undefined;
    private response: IncomingMessage | undefined;
    /** Chunks of the response that the listener has not received yet. */
    private chunks: Buffer[] = [];
    private pausedByListener = false;
    /** Whether the connection is not read until the next turn of the event loop. */
    private yieldsTurn = false;
    private bytesSinceYield = 0;
    private interimResponses = 0;
    private bytesWithoutHead = 0;
    private connected = false;
    /** Whether the connection has been closed, after which nothing of the response reaches the listener. */
    private closed = false;
    /** Whether the listener has been told how the exchange ended, or will not be told. */
    private concluded = false;
    private readonly boundary: FailureBoundary;
    private readonly abort: () => void;

    constructor(
        private readonly server: ServerEntry,
        private readonly content: ExchangeRequest,
        private readonly options: ExchangeOptions,
        private readonly listener: ExchangeListener,
    ) {
        this.boundary = options.failures.createBoundary(
            "exchange",
            error => this.fail(ConnectionFailure.internal, error),
            { server: server.id },
        );
        this.abort = this.boundary.wrap(() => this.fail(ConnectionFailure.cancelled));
        // eslint-disable-next-line no-restricted-syntax -- wrapped in the line before, since it is removed again
        options.callerGone?.addEventListener("abort", this.abort);
        if (options.callerGone === undefined) {
            this.send();
        }
        else {
            afterPendingInput(this.boundary.wrap(() => this.sendIfWanted()));
        }
    }

    /** Closes the connection, which makes the backend server abandon the request. */
    cancel(): void {
        this.concluded = true;
        this.close();
    }

    /** Closes the connection and reports the failure. */
    fail(failure: ConnectionFailure, cause?: unknown): void {
        if (!this.concluded) {
            this.concluded = true;
            this.close();
            this.listener.failed(new ConnectionFailedError(this.server.id, failure, this.connected, cause));
        }
    }

    /** Stops reading until `resume` is called, which applies a slow caller's backpressure to the backend server. */
    pause(): void {
        this.pausedByListener = true;
        this.response?.pause();
    }

    resume(): void {
        this.pausedByListener = false;
        if (!this.yieldsTurn) {
            this.response?.resume();
        }
    }

    private sendIfWanted(): void {
        if (this.options.callerGone?.aborted === true) {
            this.fail(ConnectionFailure.cancelled);
        }
        else if (monotonicNow() >= this.options.deadline) {
            this.fail(ConnectionFailure.expired);
        }
        else if (!this.closed) {
            this.send();
        }
    }

    private send(): void {
        const { server, content, options, boundary } = this;
        this.connectTimer = setTimeout(
            boundary.wrap(() => this.fail(ConnectionFailure.silent)),
            options.connectTimeoutMilliseconds,
        );
        this.deadlineTimer = setTimeout(
            boundary.wrap(() => this.fail(this.connected ? ConnectionFailure.silent : ConnectionFailure.expired)),
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
            queueMicrotask(boundary.wrap(() => this.fail(ConnectionFailure.unsendable, error)));
            return;
        }
        this.observe(this.request);
        this.request.end(content.body);
    }

    private observe(request: ClientRequest): void {
        const { boundary } = this;
        request.on(
            "socket",
            boundary.wrap((socket: Socket) => {
                socket.setNoDelay(true);
                socket.once("connect", boundary.wrap(() => this.handleConnect()));
                // After the runtime's own listener, which parses the bytes.
                socket.on("data", boundary.wrap((bytes: Buffer) => this.handleBytes(bytes)));
            }),
        );
        request.on("information", boundary.wrap(() => this.handleInterimResponse()));
        request.on("response", boundary.wrap((response: IncomingMessage) => this.handleResponse(response)));
        request.on("error", boundary.wrap((error: Error) => this.failUnlessComplete(error)));
        // The runtime reports nothing else if a server switches to another protocol.
        request.on("close", boundary.wrap(() => this.failUnlessComplete()));
    }

    private handleConnect(): void {
        this.connected = true;
        clearTimeout(this.connectTimer);
    }

    private handleInterimResponse(): void {
        if (++this.interimResponses > maximumInterimResponses) {
            this.fail(ConnectionFailure.protocol);
        }
    }

    /** The runtime limits a head, but not what comes before it, such as empty lines. */
    private handleBytes(bytes: Buffer): void {
        if (this.response === undefined) {
            this.bytesWithoutHead += bytes.length;
            if (this.bytesWithoutHead > maximumBytesWithoutHead) {
                this.fail(ConnectionFailure.protocol);
            }
        }
        else if (bytes.length >= readBufferBytes) {
            this.yieldTurn();
        }
    }

    /** Lets the connections of others be read before this one is read again, however fast its server sends. */
    private yieldTurn(): void {
        if (this.yieldsTurn) {
            return;
        }
        this.yieldsTurn = true;
        this.bytesSinceYield = 0;
        this.response?.pause();
        const proceed = () => {
            this.yieldsTurn = false;
            if (!this.pausedByListener) {
                this.response?.resume();
            }
        };
        setImmediate(this.boundary.wrap(proceed));
    }

    private failUnlessComplete(cause?: Error): void {
        this.passOnChunks();
        if (this.response?.complete !== true) {
            this.fail(this.connected ? classifyFailure(cause) : ConnectionFailure.refused, cause);
        }
    }

    private failBroken(cause: Error): void {
        this.passOnChunks();
        this.fail(ConnectionFailure.broken, cause);
    }

    private handleResponse(response: IncomingMessage): void {
        if (this.closed) {
            return;
        }
        const { statusCode, headers, rawHeaders } = response;
        const status = statusCode ?? 0;
        const framing = responseFraming({ status, headers }, this.content.method);
        if (!isFinalStatus(status) || framing === ResponseFraming.unsupported || !areHeadersValid(rawHeaders)) {
            this.fail(ConnectionFailure.protocol);
            return;
        }
        const { boundary } = this;
        this.response = response;
        const endedInOrder = framing === ResponseFraming.untilClose
            ? endsInOrder(response.socket, boundary)
            : undefined;
        response.on("data", boundary.wrap((chunk: Buffer) => this.handleChunk(chunk)));
        response.on("end", boundary.wrap(() => this.handleEnd(response, endedInOrder)));
        response.on("error", boundary.wrap((error: Error) => this.failBroken(error)));
        const head = { status, headers, rawHeaders, framing };
        this.options.responseObserver?.responseReceived(this.server, head);
        this.listener.headReceived(head);
    }

    /** The runtime reports each chunk of HTTP by itself, of which one read may hold thousands. */
    private handleChunk(chunk: Buffer): void {
        if (this.closed) {
            return;
        }
        if (this.chunks.push(chunk) === 1) {
            queueMicrotask(this.boundary.wrap(() => this.passOnChunks()));
        }
        // While a response is paused, the runtime may read on and keep two more buffers, which it hands over at once.
        this.bytesSinceYield += chunk.length;
        if (this.bytesSinceYield >= readBufferBytes) {
            this.yieldTurn();
        }
    }

    private passOnChunks(): void {
        const { chunks } = this;
        if (this.closed || chunks.length === 0) {
            return;
        }
        this.chunks = [];
        this.listener.bytesReceived(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks), chunks.length);
    }

    private async handleEnd({ complete }: IncomingMessage, endedInOrder: Promise<boolean> | undefined): Promise<void> {
        this.passOnChunks();
        if (complete && (endedInOrder === undefined || (await endedInOrder && !await this.isServerGone()))) {
            this.finishSuccessfully();
        }
        else {
            this.fail(ConnectionFailure.broken);
        }
    }

    /** The operating system ends the connections of a process that is killed in order, as if their responses were whole. */
    private isServerGone(): Promise<boolean> {
        return isListenerGone(this.server.address, this.options.failures);
    }

    private finishSuccessfully(): void {
        if (!this.closed) {
            this.close();
            // If this throws, the listener is told that the exchange has failed.
            this.listener.completed();
            this.concluded = true;
        }
    }

    private close(): void {
        this.closed = true;
        clearTimeout(this.connectTimer);
        clearTimeout(this.deadlineTimer);
        this.options.callerGone?.removeEventListener("abort", this.abort);
        this.request?.destroy();
    }
}

/** The runtime's parser reports bytes that are no response; it also reports a connection that ends in the middle of one. */
function classifyFailure(cause: NodeJS.ErrnoException | undefined): ConnectionFailure {
    const code = cause?.code ?? "";
    return code.startsWith("HPE_") && code !== "HPE_INVALID_EOF_STATE"
        ? ConnectionFailure.protocol
        : ConnectionFailure.broken;
}

/** Whether the runtime would send the headers on. Its parser also accepts names and values that it refuses to send. */
function areHeadersValid(rawHeaders: readonly string[]): boolean {
    try {
        for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
            validateHeaderName(rawHeaders[index]!);
            validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
        return true;
    }
    catch {
        return false;
    }
}
