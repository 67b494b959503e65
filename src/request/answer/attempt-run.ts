/**
 * Runs one attempt: reads and validates its frames and notifies its listener of each token and then of either the end
 * or the failure, exactly once. Frames are handled synchronously, which avoids a promise for each token.
 */
import type { Subscription } from "most";
import { monotonicNow } from "../../common/clock.js";
import type { Attempt } from "../../domain/backend-connection.js";
import type { EndFrame, EngineFrame, TokenFrame } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { type AttemptFailure, AttemptFailureKind, failureFromFrame } from "./attempt-failure.js";
import type { FrameChecker } from "./frame-checker.js";

export interface AttemptListener {
    onToken(frame: TokenFrame): void;
    onEnd(frame: EndFrame): void;
    onFailure(failure: AttemptFailure): void;
}

export class AttemptRun {
    private subscription: Subscription<EngineFrame> | undefined;
    private ended = false;
    private tokenReceived = false;
    private frameReceived = false;
    private lastFrameAt = monotonicNow();
    private progressAt = monotonicNow();

    constructor(
        private readonly attempt: Attempt,
        private readonly checker: FrameChecker,
        private readonly firstBackendServer: string,
        private readonly listener: AttemptListener,
    ) {}

    /** Monotonic time, in milliseconds, of the last token, or of the attempt's start or last resume() if later. */
    get lastProgressAt(): number {
        return this.progressAt;
    }

    /** Whether this attempt has delivered a valid token. */
    get hasToken(): boolean {
        return this.tokenReceived;
    }

    start(): void {
        const subscription = this.attempt.frames.subscribe({
            next: frame => this.handleFrame(frame),
            error: error => this.handleConnectionError(error),
            complete: () =>
                this.fail({ kind: AttemptFailureKind.incomplete, reason: "incomplete", mayHaveRun: true }, false),
        });
        if (this.ended) {
            subscription.unsubscribe();
            return;
        }
        this.subscription = subscription;
    }

    pause(): void {
        this.attempt.pause();
    }

    resume(): void {
        this.progressAt = monotonicNow();
        this.attempt.resume();
    }

    /**
     * Fails the attempt because no token arrived in time. If no frame at all arrived since the last progress, not even a
     * heartbeat, the connection is at fault rather than a stage.
     */
    failStalled(): void {
        const kind = this.lastFrameAt > this.progressAt
            ? AttemptFailureKind.stalled
            : AttemptFailureKind.connectionSilent;
        this.fail({ kind, reason: kind, mayHaveRun: true }, true);
    }

    /** Cancels the attempt without notifying the listener. */
    cancel(): void {
        if (!this.ended) {
            this.finish(true);
        }
    }

    private handleFrame(frame: EngineFrame): void {
        if (this.ended) {
            return;
        }
        this.frameReceived = true;
        this.lastFrameAt = monotonicNow();
        const violation = this.checker.check(frame);
        if (violation !== undefined) {
            this.fail({
                kind: AttemptFailureKind.violation,
                reason: violation,
                backendServer: this.firstBackendServer,
                mayHaveRun: true,
            }, true);
            return;
        }
        if (frame.type === "token") {
            this.tokenReceived = true;
            this.progressAt = this.lastFrameAt;
            this.listener.onToken(frame);
        }
        else if (frame.type === "end") {
            this.finish(false);
            this.listener.onEnd(frame);
        }
        else if (frame.type === "failure") {
            this.fail(failureFromFrame(frame, this.firstBackendServer, this.tokenReceived), false);
        }
    }

    private handleConnectionError(error: unknown): void {
        const connectionError = error instanceof ConnectionFailedError ? error : undefined;
        this.fail({
            kind: connectionFailureKind(connectionError),
            reason: connectionError?.failure ?? "broken",
            backendServer: this.firstBackendServer,
            mayHaveRun: this.frameReceived || (connectionError?.bytesWritten ?? true),
            cause: error,
        }, true);
    }

    private fail(failure: AttemptFailure, cancel: boolean): void {
        if (this.ended) {
            return;
        }
        this.finish(cancel);
        this.listener.onFailure(failure);
    }

    private finish(cancel: boolean): void {
        this.ended = true;
        if (cancel) {
            this.attempt.cancel();
        }
        this.subscription?.unsubscribe();
    }
}

function connectionFailureKind(error: ConnectionFailedError | undefined): AttemptFailureKind {
    switch (error?.failure) {
        case ConnectionFailure.silent:
            return AttemptFailureKind.connectionSilent;
        case ConnectionFailure.protocol:
            return AttemptFailureKind.violation;
        default:
            return AttemptFailureKind.connectionLost;
    }
}
