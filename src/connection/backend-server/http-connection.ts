/** The link to one backend server over HTTP. docs/BACKEND-SERVERS.md describes the protocol. */
import type { Stream } from "most";
import { Client, type Dispatcher, Pool } from "undici";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { type RandomSource, SystemRandom } from "../../common/random.js";
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
/** Silence is looked for this often within its bound. */
const checksPerSilence = 5;
const cancelTimeoutMilliseconds = 1_000;
const jsonHeaders = { "content-type": "application/json" } as const;

/** What every link of a router shares. */
export interface HttpConnectionParts {
    readonly settings: BackendServerConnectionSettings;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random?: RandomSource;
}

interface ShortReply {
    readonly status: number;
    readonly text: string;
}

export class HttpBackendServerConnection implements BackendServerConnection {
    readonly events: Stream<BackendServerEvent> = createStream(emitter => this.observeEvents(emitter));
    private pool: Pool;
    private readonly attempts = new Set<HttpAttempt>();
    private readonly emitters = new Set<Emitter<BackendServerEvent>>();
    private readonly eventsReader: EventsReader;
    private checkTimer: ReturnType<typeof setInterval> | undefined;
    private closed = false;

    constructor(
        readonly backendServer: string,
        private readonly address: string,
        private readonly parts: HttpConnectionParts,
    ) {
        this.pool = this.createPool();
        this.eventsReader = new EventsReader({
            backendServer,
            settings: parts.settings,
            dispatcher: () => this.pool,
            publish: event => this.publishEvent(event),
            wentSilent: () => this.replacePool(),
            random: parts.random ?? new SystemRandom(),
            logger: parts.logger,
        });
    }

    startAttempt(request: AttemptRequest, options: AttemptOptions = {}): Attempt {
        const client = options.freshConnection === true ? this.createClient() : undefined;
        const attempt = new HttpAttempt(
            this.backendServer,
            request.attemptId,
            this.parts.settings.maximumLineBytes,
            {
                closed: ended => {
                    this.attempts.delete(ended);
                    void client?.close().catch(() => undefined);
                },
            },
        );
        this.attempts.add(attempt);
        this.checkTimer ??= setInterval(
            () => this.checkSilence(),
            this.parts.settings.silenceMilliseconds / checksPerSilence,
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
        const { orderCredential } = this.parts.settings;
        const headers = orderCredential === undefined
            ? jsonHeaders
            : { ...jsonHeaders, authorization: `Bearer ${orderCredential}` };
        const options = { method: "POST", path: "/v1/orders", headers, body: JSON.stringify(order) } as const;
        const reply = await this.call(options, order.timeoutMilliseconds);
        if (reply.status === unauthorizedStatus) {
            return { orderId: order.orderId, result: OrderResult.refused, message: "the credential was refused" };
        }
        return this.parse<OrderReply>(reply);
    }

    async readHoldings(timeoutMilliseconds: number): Promise<HoldingsReport> {
        return this.parse(await this.call({ method: "GET", path: "/v1/holdings" }, timeoutMilliseconds));
    }

    close(): void {
        this.closed = true;
        this.eventsReader.stop();
        clearInterval(this.checkTimer);
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
        const { connectTimeoutMilliseconds } = this.parts.settings;
        return new Pool(this.address, {
            connections: null,
            pipelining: 1,
            connect: { timeout: connectTimeoutMilliseconds },
        });
    }

    private createClient(): Client {
        const { connectTimeoutMilliseconds } = this.parts.settings;
        return new Client(this.address, { pipelining: 1, connect: { timeout: connectTimeoutMilliseconds } });
    }

    /** Connections that are idle may be silent as well, so none of them is used again; attempts that run go on. */
    private replacePool(): void {
        const old = this.pool;
        this.pool = this.createPool();
        void old.close().catch(() => undefined);
    }

    private checkSilence(): void {
        const now = monotonicNow();
        const { silenceMilliseconds } = this.parts.settings;
        const silent = [...this.attempts].filter(attempt => attempt.isSilent(now, silenceMilliseconds));
        if (silent.length > 0) {
            this.parts.metrics.increment("pomelostall.backend.silent", silent.length);
            this.parts.logger.warn("connections to a backend server went silent", {
                backendServer: this.backendServer,
                attempts: silent.length,
            });
            this.replacePool();
        }
        for (const attempt of silent) {
            attempt.fail(ConnectionFailure.silent);
            this.cancelOverNewConnection(attempt.attemptId);
        }
        if (this.attempts.size === 0) {
            clearInterval(this.checkTimer);
            this.checkTimer = undefined;
        }
    }

    /** The engine may not notice that a silent connection was given up. */
    private cancelOverNewConnection(attemptId: string): void {
        const path = `/v1/attempts/${encodeURIComponent(attemptId)}/cancel`;
        this.call({ method: "POST", path, headers: jsonHeaders, body: "{}" }, cancelTimeoutMilliseconds)
            .catch(() => undefined);
    }

    private observeEvents(emitter: Emitter<BackendServerEvent>): () => void {
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

    /** A short call with a whole answer. */
    private async call(options: Dispatcher.RequestOptions, timeoutMilliseconds: number): Promise<ShortReply> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), timeoutMilliseconds);
        try {
            const response = await this.pool.request({ ...options, signal: abort.signal });
            return { status: response.statusCode, text: await response.body.text() };
        }
        catch (error) {
            const failure = this.classify(error, abort.signal.aborted);
            if (failure.failure === ConnectionFailure.silent) {
                this.replacePool();
            }
            throw failure;
        }
        finally {
            clearTimeout(timer);
        }
    }

    private classify(error: unknown, timedOut: boolean): ConnectionFailedError {
        if (timedOut) {
            return new ConnectionFailedError(this.backendServer, ConnectionFailure.silent, true, error);
        }
        const code = (error as { readonly code?: string; }).code;
        const refused = code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
        const failure = refused ? ConnectionFailure.refused : ConnectionFailure.broken;
        return new ConnectionFailedError(this.backendServer, failure, !refused, error);
    }

    private parse<Value>(reply: ShortReply): Value {
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
