/** An operation that waits for a write of its shard, with the time that its caller gives it. */
import type { LedgerResult } from "../../domain/booking-ledger.js";
import { PlatformUnavailableError, type PomelostallError } from "../../errors/index.js";
import type { ShardOperation } from "./shard-state.js";

export class PendingOperation {
    readonly result: Promise<LedgerResult>;
    private resolve!: (result: LedgerResult) => void;
    private fail!: (error: PomelostallError) => void;
    private readonly timer: ReturnType<typeof setTimeout> | undefined;
    private timedOut = false;

    /** Without a timeout the operation waits as long as its shard lives. */
    constructor(readonly operation: ShardOperation, timeoutMilliseconds?: number) {
        this.result = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.fail = reject;
        });
        // Whoever submitted it may have stopped waiting.
        this.result.catch(() => undefined);
        if (timeoutMilliseconds !== undefined) {
            this.timer = setTimeout(() => this.abandon(timeoutMilliseconds), Math.max(0, timeoutMilliseconds));
        }
    }

    /** Whether the caller was told that it waited too long. */
    get abandoned(): boolean {
        return this.timedOut;
    }

    complete(result: LedgerResult): void {
        clearTimeout(this.timer);
        this.resolve(result);
    }

    reject(error: PomelostallError): void {
        clearTimeout(this.timer);
        this.fail(error);
    }

    private abandon(timeoutMilliseconds: number): void {
        this.timedOut = true;
        this.fail(new PlatformUnavailableError(`The ledger was not written in ${timeoutMilliseconds} ms.`, true));
    }
}
