/**
 * Reads the body of a caller's request. A caller may announce or send more than the limit, send its body in chunks of any
 * size, or stop before its end; each of these ends in an answer that says that the request has not run.
 */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../../common/byte-collector.js";
import { monotonicNow } from "../../common/clock.js";
import { afterPendingInput } from "../../common/event-loop.js";
import type { FailureBoundary } from "../../common/failure-boundary.js";
import type { MemoryAccount, MemoryLedger } from "../../common/memory-ledger.js";
import { SmallChunkLimit } from "../../connection/gateway/small-chunk-limit.js";
import {
    BadRequestError,
    BodyTooLargeError,
    CallerGoneError,
    Outcome,
    RequestTimeoutError,
} from "../../errors/index.js";
import type { ConnectionInput } from "./connection-input.js";

export interface CallerBodyOptions {
    readonly maximumBytes: number;
    /** Longest time between two parts of the body. */
    readonly pauseMilliseconds: number;
    /** Monotonic time in milliseconds at which the request can no longer be answered in time. */
    readonly deadline: number;
    readonly memory: MemoryLedger;
    /** The caller, for the log. */
    readonly owner: string;
    /** Of the caller's connection. */
    readonly input: ConnectionInput;
    /** Aborted when the request is cancelled; its body is then not read any further. */
    readonly cancelled: AbortSignal;
    readonly boundary: FailureBoundary;
}

/**
 * Returns undefined for a request without a body. Rejects with BodyTooLargeError, BadRequestError, RequestTimeoutError,
 * MemoryShortageError or CallerGoneError; the rest of the body is then left unread.
 */
export async function readCallerBody(
    message: IncomingMessage,
    options: CallerBodyOptions,
): Promise<Buffer | undefined> {
    const announced = message.headers["content-length"];
    if (announced === undefined && message.headers["transfer-encoding"] === undefined) {
        return undefined;
    }
    if (Number(announced ?? 0) > options.maximumBytes) {
        throw new BodyTooLargeError(options.maximumBytes);
    }
    return new CallerBodyReader(message, options).body;
}

class CallerBodyReader {
    readonly body: Promise<Buffer>;
    private readonly account: MemoryAccount;
    private readonly collector: ByteCollector;
    private timer: ReturnType<typeof setTimeout> | undefined;
    private finished = false;
    private readonly smallChunks = new SmallChunkLimit();
    private lastPartAt = monotonicNow();
    private finish!: (settle: () => void) => void;
    private reject!: (error: unknown) => void;

    constructor(private readonly message: IncomingMessage, private readonly options: CallerBodyOptions) {
        this.account = options.memory.open({
            kind: "request body",
            owner: options.owner,
            end: error => this.fail(error),
        });
        this.collector = new ByteCollector(this.account);
        this.body = new Promise((resolve, reject) => {
            const { boundary } = options;
            this.reject = reject;
            this.finish = settle => {
                if (!this.finished) {
                    this.finished = true;
                    clearTimeout(this.timer);
                    settle();
                }
            };
            const lose = (cause?: unknown) => this.fail(new CallerGoneError(Outcome.notRun, cause));
            const complete = () => {
                // The request may run from now on.
                this.account.keep();
                options.input.readOn();
                this.finish(() => resolve(this.collector.take()));
            };
            message.on("data", boundary.wrap((chunk: Buffer) => this.receive(chunk)));
            message.on("end", boundary.wrap(complete));
            message.on("error", boundary.wrap(lose));
            message.on("close", boundary.wrap(lose));
            options.cancelled.addEventListener("abort", boundary.wrap(lose));
        });
        this.awaitPart();
    }

    private receive(chunk: Buffer): void {
        if (this.finished) {
            return;
        }
        this.lastPartAt = monotonicNow();
        if (this.smallChunks.isExceededBy(chunk, 1)) {
            this.fail(new BadRequestError("The body comes in too many very small chunks."));
            return;
        }
        this.options.input.spend(chunk.length);
        if (this.collector.bytes + chunk.length > this.options.maximumBytes) {
            this.fail(new BodyTooLargeError(this.options.maximumBytes));
            return;
        }
        try {
            this.collector.append(chunk);
        }
        catch (error) {
            this.fail(error);
        }
    }

    private fail(error: unknown): void {
        this.finish(() => {
            this.message.pause();
            this.account.close();
            this.collector.release();
            this.reject(error);
        });
    }

    /** Monotonic time since which the caller could have sent the next part. */
    private get waitingSince(): number {
        return Math.max(this.lastPartAt, this.options.input.readSince);
    }

    private awaitPart(): void {
        const until = Math.min(this.waitingSince + this.options.pauseMilliseconds, this.options.deadline);
        // A process that was paused has input to read before it can tell who has stopped.
        const check = () => afterPendingInput(this.options.boundary.wrap(() => this.checkProgress()));
        this.timer = setTimeout(this.options.boundary.wrap(check), Math.max(0, until - monotonicNow()));
    }

    private checkProgress(): void {
        if (this.finished) {
            return;
        }
        const now = monotonicNow();
        const hasStopped = now - this.waitingSince >= this.options.pauseMilliseconds;
        if (now >= this.options.deadline || hasStopped) {
            this.fail(new RequestTimeoutError());
        }
        else {
            this.awaitPart();
        }
    }
}
