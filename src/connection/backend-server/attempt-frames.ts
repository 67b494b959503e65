/**
 * Validates the frames of one attempt, buffers them until the stream is observed, and ends the stream after an end or
 * failure frame.
 */
import type { Stream } from "most";
import { createStream, type Emitter } from "../../common/streams.js";
import type { EngineFrame } from "../../domain/engine-protocol.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";

export class AttemptFrameBuffer {
    private readonly pendingFrames: EngineFrame[] = [];
    private emitter: Emitter<EngineFrame> | undefined;
    private error: ConnectionFailedError | undefined;
    private isClosed = false;
    readonly stream: Stream<EngineFrame> = createStream<EngineFrame>(emitter => this.observe(emitter));

    constructor(private readonly backendServer: string, private readonly attemptId: string) {}

    /** Whether the stream has ended or failed; further frames are ignored. */
    get closed(): boolean {
        return this.isClosed;
    }

    /** Adds a frame. Returns false and fails the stream if the frame belongs to another attempt. */
    push(frame: EngineFrame): boolean {
        if (this.isClosed) {
            return true;
        }
        if (frame.attemptId !== this.attemptId) {
            this.fail(new ConnectionFailedError(this.backendServer, ConnectionFailure.protocol, true));
            return false;
        }
        if (this.emitter === undefined) {
            this.pendingFrames.push(frame);
        }
        else {
            this.emitter.next(frame);
        }
        if (frame.type === "end" || frame.type === "failure") {
            this.finish();
        }
        return true;
    }

    /** Ends the stream without an error. */
    finish(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.emitter?.complete();
        }
    }

    fail(error: ConnectionFailedError): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.error = error;
            this.emitter?.fail(error);
        }
    }

    private observe(emitter: Emitter<EngineFrame>): () => void {
        for (const frame of this.pendingFrames.splice(0)) {
            emitter.next(frame);
        }
        if (this.error !== undefined) {
            emitter.fail(this.error);
        }
        else if (this.isClosed) {
            emitter.complete();
        }
        else {
            this.emitter = emitter;
        }
        return () => {
            this.emitter = undefined;
        };
    }
}
