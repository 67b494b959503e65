/** HTTP connection to one backend server. docs/BACKEND-SERVERS.md describes the protocol. */
import type { Stream } from "most";
import { Client, type Dispatcher, Pool } from "undici";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { type RandomSource, SystemRandom } from "../../common/random.js";
import { readBoundedText } from "../../common/read-bounded-text.js";
import { createStream, type Emitter } from "../../common/streams.js";
import type { Attempt, AttemptOptions, BackendServerConnection } from "../../domain/backend-connection.js";
import {
    type AttemptRequest,
    type BackendServerEvent,
    type HoldingsReport,
    type OrderReply,
    OrderResult,
    type PlacementOrder,
} from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { EventsReader } from "./events-reader.js";
import { HttpAttempt } from "./http-attempt.js";
import type { BackendServerConnectionSettings } from "./settings.js";

const okStatus = 200;
const unauthorizedStatus = 401;
/** Number of silence checks within one silence timeout. */
const checksPerSilenceTimeout = 5;
/** Limits the memory that one order reply or holdings report takes. */
const maximumResponseBytes = 1_000_000;
const cancelTimeoutMilliseconds = 1_000;
const jsonHeaders = { "content-type": "application/json" } as const;

/** Dependencies that all backend server connections of a router share. */
export interface HttpConnectionDependencies {
    readonly settings: BackendServerConnectionSettings;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random?: RandomSource;
}

interface BufferedResponse {
    readonly status: number;
    readonly text: string;
}

export class HttpBackendServerConnection implements BackendServerConnection {
    readonly events: Stream<BackendServerEvent> = createStream(emitter => this.subscribeToEvents(emitter));
    private pool: Pool;
    private readonly attempts = new Set<HttpAttempt>();
    private readonly emitters = new Set<Emitter<BackendServerEvent>>();
    private readonly eventsReader: EventsReader;
    private silenceCheckTimer: ReturnType<typeof setInterval> | undefined;
    private closed = false;

    constructor(
        readonly backendServer: string,
        private readonly address: string,
        private readonly dependencies: HttpConnectionDependencies,
    ) {
        this.pool = this.createPool();
        this.eventsReader = new EventsReader({
            backendServer,
            settings: dependencies.settings,
            dispatcher: () => this.pool,
            publish: event => this.publishEvent(event),
            onSilence: () => this.replacePool(),
            random: dependencies.random ?? new SystemRandom(),
            logger: dependencies.logger,
        });
    }

    startAttempt(request: AttemptRequest, options: AttemptOptions = {}): Attempt {
        const client = options.freshConnection === true ? this.createClient() : undefined;
        const attempt = new HttpAttempt(
            this.backendServer,
            request.attemptId,
            this.dependencies.settings.maximumLineBytes,
            {
                onClosed: endedAttempt => {
                    this.attempts.delete(endedAttempt);
                    void client?.close().catch(() => undefined);
                },
            },
        );
        this.attempts.add(attempt);
        this.silenceCheckTimer ??= setInterval(
            () => this.failSilentAttempts(),
            this.dependencies.settings.silenceMilliseconds / checksPerSilenceTimeout,
        );
        (client ?? this.pool).dispatch(
            {
                method: "POST",
                path: "/v1/attempts",
                headers: jsonHeaders,
                body: JSON.stringify(request),
                headersTimeout: 0,
                bodyTimeout: 0,
            },
            attempt,
        );
        return attempt;
    }

    async sendOrder(order: PlacementOrder): Promise<OrderReply> {
        const { orderCredential } = this.dependencies.settings;
        const headers = orderCredential === undefined
            ? jsonHeaders
            : { ...jsonHeaders, authorization: `Bearer ${orderCredential}` };
        const options = { method: "POST", path: "/v1/orders", headers, body: JSON.stringify(order) } as const;
        const reply = await this.sendRequest(options, order.timeoutMilliseconds);
        if (reply.status === unauthorizedStatus) {
            return { orderId: order.orderId, result: OrderResult.refused, message: "the credential was refused" };
        }
        return this.parseResponse<OrderReply>(reply);
    }

    async readHoldings(timeoutMilliseconds: number): Promise<HoldingsReport> {
        return this.parseResponse(await this.sendRequest({ method: "GET", path: "/v1/holdings" }, timeoutMilliseconds));
    }

    close(): void {
        this.closed = true;
        this.eventsReader.stop();
        clearInterval(this.silenceCheckTimer);
        for (const attempt of [...this.attempts]) {
            attempt.fail(ConnectionFailure.broken);
        }
        for (const emitter of this.emitters) {
            emitter.complete();
        }
        this.emitters.clear();
        void this.pool.destroy().catch(() => undefined);
    }

    private createPool(): Pool {
        const { connectTimeoutMilliseconds } = this.dependencies.settings;
        return new Pool(this.address, {
            connections: null,
            pipelining: 1,
            connect: { timeout: connectTimeoutMilliseconds },
        });
    }

    private createClient(): Client {
        const { connectTimeoutMilliseconds } = this.dependencies.settings;
        return new Client(this.address, { pipelining: 1, connect: { timeout: connectTimeoutMilliseconds } });
    }

    /** Stops reusing the pooled connections, since idle ones may be silent too. Running attempts continue. */
    private replacePool(): void {
        const previousPool = this.pool;
        this.pool = this.createPool();
        void previousPool.close().catch(() => undefined);
    }

    private failSilentAttempts(): void {
        const now = monotonicNow();
        const { silenceMilliseconds } = this.dependencies.settings;
        const silentAttempts = [...this.attempts].filter(attempt => attempt.isSilent(now, silenceMilliseconds));
        if (silentAttempts.length > 0) {
            this.dependencies.metrics.increment("pomelostall.backend.silent", silentAttempts.length);
            this.dependencies.logger.warn(
                "no data from a backend server within the silence timeout; failing its silent attempts",
                {
                    backendServer: this.backendServer,
                    attempts: silentAttempts.length,
                },
            );
            this.replacePool();
        }
        for (const attempt of silentAttempts) {
            attempt.fail(ConnectionFailure.silent);
            this.cancelOverNewConnection(attempt.attemptId);
        }
        if (this.attempts.size === 0) {
            clearInterval(this.silenceCheckTimer);
            this.silenceCheckTimer = undefined;
        }
    }

    /** Cancels the attempt explicitly, since the engine may not detect that the silent connection was closed. */
    private cancelOverNewConnection(attemptId: string): void {
        const path = `/v1/attempts/${encodeURIComponent(attemptId)}/cancel`;
        this.sendRequest({ method: "POST", path, headers: jsonHeaders, body: "{}" }, cancelTimeoutMilliseconds)
            .catch(() => undefined);
    }

    private subscribeToEvents(emitter: Emitter<BackendServerEvent>): () => void {
        this.emitters.add(emitter);
        if (this.emitters.size === 1 && !this.closed) {
            this.eventsReader.start();
        }
        return () => {
            if (this.emitters.delete(emitter) && this.emitters.size === 0) {
                this.eventsReader.stop();
            }
        };
    }

    private publishEvent(event: BackendServerEvent): void {
        for (const emitter of [...this.emitters]) {
            emitter.next(event);
        }
    }

    /** Sends a request and reads the complete response body. Rejects with a ConnectionFailedError. */
    private async sendRequest(
        options: Dispatcher.RequestOptions,
        timeoutMilliseconds: number,
    ): Promise<BufferedResponse> {
        const abortController = new AbortController();
        const timer = setTimeout(() => abortController.abort(), timeoutMilliseconds);
        try {
            const response = await this.pool.request({ ...options, signal: abortController.signal });
            return { status: response.statusCode, text: await readBoundedText(response.body, maximumResponseBytes) };
        }
        catch (error) {
            const failure = this.toConnectionError(error, abortController.signal.aborted);
            if (failure.failure === ConnectionFailure.silent) {
                this.replacePool();
            }
            throw failure;
        }
        finally {
            clearTimeout(timer);
        }
    }

    private toConnectionError(error: unknown, timedOut: boolean): ConnectionFailedError {
        if (timedOut) {
            return new ConnectionFailedError(this.backendServer, ConnectionFailure.silent, true, error);
        }
        const code = (error as { readonly code?: string; }).code;
        const refused = code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
        const failure = refused ? ConnectionFailure.refused : ConnectionFailure.broken;
        return new ConnectionFailedError(this.backendServer, failure, !refused, error);
    }

    private parseResponse<Value>(reply: BufferedResponse): Value {
        if (reply.status !== okStatus) {
            throw new ConnectionFailedError(this.backendServer, ConnectionFailure.protocol, true);
        }
        try {
            return JSON.parse(reply.text) as Value;
        }
        catch (error) {
            throw new ConnectionFailedError(this.backendServer, ConnectionFailure.protocol, true, error);
        }
    }
}
