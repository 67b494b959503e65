/** One attempt over HTTP. Parses response frames in undici's dispatch callbacks, without a promise per frame. */
import type { Stream } from "most";
import type { Dispatcher } from "undici";
import { monotonicNow } from "../../common/clock.js";
import type { Attempt } from "../../domain/backend-connection.js";
import type { EngineFrame } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { AttemptFrameBuffer } from "./attempt-frames.js";
import { LineSplitter } from "./line-splitter.js";

const okStatus = 200;

export interface HttpAttemptListener {
    /** The attempt has ended and needs no more silence checks. Can be called more than once for an attempt. */
    onClosed(attempt: HttpAttempt): void;
}

export class HttpAttempt implements Attempt, Dispatcher.DispatchHandler {
    private readonly frameBuffer: AttemptFrameBuffer;
    private readonly splitter: LineSplitter;
    private controller: Dispatcher.DispatchController | undefined;
    private requestStarted = false;
    private paused = false;
    private lastProgressTime = monotonicNow();

    constructor(
        private readonly backendServer: string,
        readonly attemptId: string,
        maximumLineBytes: number,
        private readonly listener: HttpAttemptListener,
    ) {
        this.frameBuffer = new AttemptFrameBuffer(backendServer, attemptId);
        this.splitter = new LineSplitter(maximumLineBytes);
    }

    get frames(): Stream<EngineFrame> {
        return this.frameBuffer.stream;
    }

    pause(): void {
        this.paused = true;
        this.controller?.pause();
    }

    resume(): void {
        this.paused = false;
        this.lastProgressTime = monotonicNow();
        this.controller?.resume();
    }

    cancel(): void {
        this.frameBuffer.finish();
        this.abort();
    }

    /** Whether no data arrived within the timeout while reading was not paused. `now` is monotonic milliseconds. */
    isSilent(now: number, silenceMilliseconds: number): boolean {
        return !this.paused && now - this.lastProgressTime > silenceMilliseconds;
    }

    /** Fails the attempt and destroys its connection. */
    fail(failure: ConnectionFailure, cause?: unknown): void {
        this.frameBuffer.fail(new ConnectionFailedError(this.backendServer, failure, this.requestStarted, cause));
        this.abort();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.frameBuffer.closed) {
            // The attempt ended while waiting for a connection; undici does not send the request after an abort here.
            this.abort();
            return;
        }
        this.requestStarted = true;
        this.lastProgressTime = monotonicNow();
    }

    onResponseStart(controller: Dispatcher.DispatchController, statusCode: number): void {
        this.lastProgressTime = monotonicNow();
        if (statusCode !== okStatus) {
            this.fail(ConnectionFailure.protocol);
        }
        else if (this.paused) {
            controller.pause();
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.lastProgressTime = monotonicNow();
        const lines = this.splitter.push(chunk);
        if (lines === undefined) {
            this.fail(ConnectionFailure.protocol);
            return;
        }
        for (const line of lines) {
            if (!this.handleLine(line)) {
                return;
            }
        }
    }

    onResponseEnd(): void {
        // No effect after an end or failure frame; without one, the response was truncated.
        this.frameBuffer.fail(
            new ConnectionFailedError(this.backendServer, ConnectionFailure.broken, this.requestStarted),
        );
        this.listener.onClosed(this);
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        const failure = this.requestStarted ? ConnectionFailure.broken : ConnectionFailure.refused;
        this.frameBuffer.fail(new ConnectionFailedError(this.backendServer, failure, this.requestStarted, error));
        this.listener.onClosed(this);
    }

    private handleLine(line: string): boolean {
        let frame: EngineFrame;
        try {
            frame = JSON.parse(line) as EngineFrame;
        }
        catch (error) {
            this.fail(ConnectionFailure.protocol, error);
            return false;
        }
        if (typeof frame !== "object" || frame === null || !this.frameBuffer.push(frame)) {
            this.fail(ConnectionFailure.protocol);
            return false;
        }
        return true;
    }

    private abort(): void {
        this.listener.onClosed(this);
        this.controller?.abort(
            new ConnectionFailedError(this.backendServer, ConnectionFailure.broken, this.requestStarted),
        );
    }
}
