/** One attempt over HTTP: reads the frames of its response as undici delivers them, without a promise for each. */
import type { Stream } from "most";
import type { Dispatcher } from "undici";
import { monotonicNow } from "../../common/clock.js";
import type { Attempt } from "../../domain/backend-connection.js";
import type { EngineFrame } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { AttemptFrameBuffer } from "./attempt-frames.js";
import { LineSplitter } from "./line-splitter.js";

const okStatus = 200;

/** What an attempt tells its connection. */
export interface HttpAttemptOwner {
    /** The attempt needs no further watch. */
    closed(attempt: HttpAttempt): void;
}

export class HttpAttempt implements Attempt, Dispatcher.DispatchHandler {
    private readonly buffer: AttemptFrameBuffer;
    private readonly splitter: LineSplitter;
    private controller: Dispatcher.DispatchController | undefined;
    private written = false;
    private paused = false;
    private lastProgress = monotonicNow();

    constructor(
        private readonly backendServer: string,
        readonly attemptId: string,
        maximumLineBytes: number,
        private readonly owner: HttpAttemptOwner,
    ) {
        this.buffer = new AttemptFrameBuffer(backendServer, attemptId);
        this.splitter = new LineSplitter(maximumLineBytes);
    }

    get frames(): Stream<EngineFrame> {
        return this.buffer.stream;
    }

    pause(): void {
        this.paused = true;
        this.controller?.pause();
    }

    resume(): void {
        this.paused = false;
        this.lastProgress = monotonicNow();
        this.controller?.resume();
    }

    cancel(): void {
        this.buffer.finish();
        this.abort();
    }

    /** Whether nothing has arrived for longer than the bound, although it was read. */
    isSilent(now: number, silenceMilliseconds: number): boolean {
        return !this.paused && now - this.lastProgress > silenceMilliseconds;
    }

    /** Gives the attempt up and destroys its connection. */
    fail(failure: ConnectionFailure, cause?: unknown): void {
        this.buffer.fail(new ConnectionFailedError(this.backendServer, failure, this.written, cause));
        this.abort();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.buffer.closed) {
            // Given up while it waited for a connection: undici writes nothing after this.
            this.abort();
            return;
        }
        this.written = true;
        this.lastProgress = monotonicNow();
    }

    onResponseStart(controller: Dispatcher.DispatchController, statusCode: number): void {
        this.lastProgress = monotonicNow();
        if (statusCode !== okStatus) {
            this.fail(ConnectionFailure.protocol);
        }
        else if (this.paused) {
            controller.pause();
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.lastProgress = monotonicNow();
        const lines = this.splitter.push(chunk);
        if (lines === undefined) {
            this.fail(ConnectionFailure.protocol);
            return;
        }
        for (const line of lines) {
            if (!this.receive(line)) {
                return;
            }
        }
    }

    onResponseEnd(): void {
        // A response that ends without a closing frame was cut off.
        this.buffer.fail(new ConnectionFailedError(this.backendServer, ConnectionFailure.broken, this.written));
        this.owner.closed(this);
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        const failure = this.written ? ConnectionFailure.broken : ConnectionFailure.refused;
        this.buffer.fail(new ConnectionFailedError(this.backendServer, failure, this.written, error));
        this.owner.closed(this);
    }

    private receive(line: string): boolean {
        let frame: EngineFrame;
        try {
            frame = JSON.parse(line) as EngineFrame;
        }
        catch (error) {
            this.fail(ConnectionFailure.protocol, error);
            return false;
        }
        if (typeof frame !== "object" || frame === null || !this.buffer.push(frame)) {
            this.fail(ConnectionFailure.protocol);
            return false;
        }
        return true;
    }

    private abort(): void {
        this.owner.closed(this);
        this.controller?.abort(new ConnectionFailedError(this.backendServer, ConnectionFailure.broken, this.written));
    }
}
