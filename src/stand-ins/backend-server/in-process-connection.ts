/** Connection to an engine in the same process, with injectable link faults; for tests on a fake clock. */
import type { Stream } from "most";
import { delay } from "../../common/clock.js";
import { createStream, type Emitter } from "../../common/streams.js";
import { AttemptFrameBuffer } from "../../connection/backend-server/attempt-frame-buffer.js";
import type { Attempt, AttemptOptions, BackendServerConnection } from "../../domain/backend-connection.js";
import type {
    AttemptRequest,
    BackendServerEvent,
    EngineFrame,
    HoldingsReport,
    OrderReply,
    PlacementOrder,
} from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import type { StandInEngine } from "./engine.js";
import type { EngineAttempt } from "./types.js";

/** Options of the emulated link. */
export interface InProcessLinkOptions {
    /** One-way delay of requests and frames. */
    readonly latencyMilliseconds?: number;
    /** Time without a frame or heartbeat after which an attempt fails. */
    readonly silenceMilliseconds?: number;
    readonly orderCredential?: string;
}

const defaultSilenceMilliseconds = 1_000;

class InProcessAttempt implements Attempt {
    /** Whether frames are discarded, as on a connection that went silent. */
    frozen = false;
    private readonly buffer: AttemptFrameBuffer;
    private engineAttempt: EngineAttempt | undefined;
    private silenceTimer: ReturnType<typeof setTimeout> | undefined;
    private paused = false;

    constructor(
        private readonly backendServer: string,
        request: AttemptRequest,
        private readonly silenceMilliseconds: number,
        private readonly onClosed: (attempt: InProcessAttempt) => void,
    ) {
        this.buffer = new AttemptFrameBuffer(backendServer, request.attemptId);
    }

    get frames(): Stream<EngineFrame> {
        return this.buffer.stream;
    }

    attach(engineAttempt: EngineAttempt): void {
        this.engineAttempt = engineAttempt;
        if (this.buffer.closed) {
            engineAttempt.cancel();
        }
    }

    receive(frame: EngineFrame): void {
        if (!this.frozen && !this.buffer.closed) {
            this.restartSilenceTimer();
            if (!this.buffer.push(frame)) {
                this.finish();
                this.engineAttempt?.cancel();
            }
        }
    }

    end(): void {
        if (!this.frozen) {
            this.buffer.finish();
            this.finish();
        }
    }

    fail(failure: ConnectionFailure, bytesWritten: boolean): void {
        if (!this.buffer.closed) {
            this.buffer.fail(new ConnectionFailedError(this.backendServer, failure, bytesWritten));
            this.finish();
        }
    }

    pause(): void {
        this.paused = true;
        clearTimeout(this.silenceTimer);
        this.engineAttempt?.pause();
    }

    resume(): void {
        this.paused = false;
        this.restartSilenceTimer();
        this.engineAttempt?.resume();
    }

    cancel(): void {
        this.buffer.finish();
        this.finish();
        this.engineAttempt?.cancel();
    }

    restartSilenceTimer(): void {
        clearTimeout(this.silenceTimer);
        if (this.paused || this.buffer.closed) {
            return;
        }
        this.silenceTimer = setTimeout(() => {
            this.fail(ConnectionFailure.silent, true);
            this.engineAttempt?.cancel();
        }, this.silenceMilliseconds);
    }

    private finish(): void {
        clearTimeout(this.silenceTimer);
        this.onClosed(this);
    }
}

export class InProcessBackendServerConnection implements BackendServerConnection {
    readonly backendServer: string;
    /** Whether new connections are refused. */
    refusing = false;
    private readonly attempts = new Set<InProcessAttempt>();
    private readonly emitters = new Set<Emitter<BackendServerEvent>>();
    private eventsFrozen = false;

    constructor(private readonly engine: StandInEngine, private readonly options: InProcessLinkOptions = {}) {
        this.backendServer = engine.id;
    }

    startAttempt(request: AttemptRequest, _options?: AttemptOptions): Attempt {
        const silenceTimeout = this.options.silenceMilliseconds ?? defaultSilenceMilliseconds;
        const attempt = new InProcessAttempt(this.backendServer, request, silenceTimeout, closed => {
            this.attempts.delete(closed);
        });
        this.attempts.add(attempt);
        if (this.refusing || !this.engine.alive) {
            setTimeout(() => attempt.fail(ConnectionFailure.refused, false), this.latency);
            return attempt;
        }
        attempt.restartSilenceTimer();
        setTimeout(() => this.deliverRequest(request, attempt), this.latency);
        return attempt;
    }

    /** Silences the attempts and event streams that are open now, without an error; new ones work. */
    freeze(): void {
        for (const attempt of this.attempts) {
            attempt.frozen = true;
        }
        this.eventsFrozen = this.emitters.size > 0;
    }

    /** Breaks the connections of all open attempts. */
    break(): void {
        for (const attempt of [...this.attempts]) {
            attempt.fail(ConnectionFailure.broken, true);
        }
    }

    async sendOrder(order: PlacementOrder): Promise<OrderReply> {
        await this.waitForRequestLatency();
        return this.engine.order(order, this.options.orderCredential);
    }

    async readHoldings(): Promise<HoldingsReport> {
        await this.waitForRequestLatency();
        return this.engine.holdingsReport();
    }

    get events(): Stream<BackendServerEvent> {
        return createStream<BackendServerEvent>(emitter => {
            this.emitters.add(emitter);
            this.eventsFrozen = false;
            this.engine.currentStateEvents().forEach(event => emitter.next(event));
            const subscription = this.engine.events.subscribe({
                next: event => this.eventsFrozen || emitter.next(event),
                error: () => undefined,
                complete: () => undefined,
            });
            return () => {
                this.emitters.delete(emitter);
                subscription.unsubscribe();
            };
        });
    }

    close(): void {
        this.break();
        for (const emitter of this.emitters) {
            emitter.complete();
        }
        this.emitters.clear();
    }

    private get latency(): number {
        return this.options.latencyMilliseconds ?? 0;
    }

    private async waitForRequestLatency(): Promise<void> {
        await delay(this.latency);
        if (this.refusing || !this.engine.alive) {
            throw new ConnectionFailedError(this.backendServer, ConnectionFailure.refused, false);
        }
    }

    private deliverRequest(request: AttemptRequest, attempt: InProcessAttempt): void {
        if (!this.engine.alive) {
            attempt.fail(ConnectionFailure.refused, false);
            return;
        }
        if (attempt.frozen) {
            return;
        }
        const afterLatency = (action: () => void) =>
            this.latency === 0 ? action() : void setTimeout(action, this.latency);
        attempt.attach(this.engine.startAttempt(request, {
            write: frame => afterLatency(() => attempt.receive(frame)),
            end: () => afterLatency(() => attempt.end()),
            fail: () => afterLatency(() => attempt.fail(ConnectionFailure.broken, true)),
        }));
    }
}
