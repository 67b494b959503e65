/**
 * One request on a connection of its own to one backend server. A new connection makes it certain that bytes of an
 * earlier answer cannot be taken for this one's, that an idle connection that has died unnoticed is never used, and that
 * a failure before the connection stands proves that nothing was sent.
 */
import { type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";

export interface ExchangeRequest {
    readonly method: string;
    readonly path: string;
    /** Names and values in turn, as they go on the wire. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
}

export interface ResponseHead {
    readonly status: number;
    /** By name in lower case. */
    readonly headers: IncomingMessage["headers"];
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
}

/** Receives the answer. Exactly one of `ended` and `failed` is called last, unless the exchange is cancelled. */
export interface ExchangeListener {
    headReceived(head: ResponseHead): void;
    chunkReceived(chunk: Buffer): void;
    /** The answer is complete by the protocol's rules. */
    completed(): void;
    failed(error: ConnectionFailedError): void;
}

export class Exchange {
    private readonly request: ClientRequest;
    private readonly connectTimer: ReturnType<typeof setTimeout>;
    private response: IncomingMessage | undefined;
    private connected = false;
    private finished = false;
    private readonly method: string;

    constructor(
        private readonly server: ServerEntry,
        request: ExchangeRequest,
        connectTimeoutMilliseconds: number,
        private readonly listener: ExchangeListener,
    ) {
        this.method = request.method;
        this.request = sendRequest({
            agent: false,
            host: server.address.host,
            port: server.address.port,
            method: request.method,
            path: request.path,
            headers: request.headers,
        });
        this.connectTimer = setTimeout(() => this.fail(ConnectionFailure.silent), connectTimeoutMilliseconds);
        this.request.on("socket", socket => {
            socket.setNoDelay(true);
            socket.once("connect", () => {
                this.connected = true;
                clearTimeout(this.connectTimer);
            });
        });
        this.request.on("response", response => this.receive(response));
        this.request.on("error", error => {
            if (this.response?.complete !== true) {
                this.fail(this.connected ? ConnectionFailure.broken : ConnectionFailure.refused, error);
            }
        });
        this.request.end(request.body);
    }

    /** Closes the connection, which also makes the backend server drop the request. */
    cancel(): void {
        this.finish();
    }

    /** Stops reading until `resume`, so that a slow caller slows the backend server down. */
    pause(): void {
        this.response?.pause();
    }

    resume(): void {
        this.response?.resume();
    }

    private receive(response: IncomingMessage): void {
        if (this.finished) {
            return;
        }
        this.response = response;
        response.on("data", (chunk: Buffer) => {
            if (!this.finished) {
                this.listener.chunkReceived(chunk);
            }
        });
        response.on("end", () => {
            if (response.complete && saysWhereItEnds(response, this.method)) {
                this.end();
            }
            else {
                this.fail(ConnectionFailure.broken);
            }
        });
        response.on("error", error => this.fail(ConnectionFailure.broken, error));
        response.on("close", () => this.fail(ConnectionFailure.broken));
        const { statusCode, headers, rawHeaders } = response;
        this.listener.headReceived({ status: statusCode ?? 0, headers, rawHeaders });
    }

    private end(): void {
        if (!this.finished) {
            this.finish();
            this.listener.completed();
        }
    }

    private fail(failure: ConnectionFailure, cause?: unknown): void {
        if (!this.finished) {
            const { connected } = this;
            this.finish();
            this.listener.failed(new ConnectionFailedError(this.server.id, failure, connected, cause));
        }
    }

    private finish(): void {
        this.finished = true;
        clearTimeout(this.connectTimer);
        this.request.destroy();
    }
}

const bodilessStatuses: ReadonlySet<number | undefined> = new Set([204, 304]);

/**
 * An answer that ends with its connection cannot be told from one that was cut off: the runtime reports a reset that
 * follows data as the end of the stream. It counts as broken.
 */
function saysWhereItEnds({ headers, statusCode }: IncomingMessage, method: string): boolean {
    return headers["content-length"] !== undefined
        || headers["transfer-encoding"] !== undefined
        || method === "HEAD"
        || bodilessStatuses.has(statusCode);
}
