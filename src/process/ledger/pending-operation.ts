/** An operation that is queued for its shard's writer, with the caller's timeout. */
import type { LedgerResult } from "../../domain/booking-ledger.js";
import { PlatformUnavailableError, type PomelostallError } from "../../errors/index.js";
import type { ShardOperation } from "./shard-state.js";

export class PendingOperation {
    readonly result: Promise<LedgerResult>;
    private resolve!: (result: LedgerResult) => void;
    private fail!: (error: PomelostallError) => void;
    private readonly timer: ReturnType<typeof setTimeout> | undefined;
    private timedOut = false;

    /** Without a timeout, the operation is pending until it completes or the shard's writer stops. */
    constructor(readonly operation: ShardOperation, timeoutMilliseconds?: number) {
        this.result = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.fail = reject;
        });
        // The caller may no longer await the result; a rejection must not count as unhandled then.
        this.result.catch(() => undefined);
        if (timeoutMilliseconds !== undefined) {
            this.timer = setTimeout(() => this.expire(timeoutMilliseconds), Math.max(0, timeoutMilliseconds));
        }
    }

    /** Whether the operation timed out, so that the caller has already received the error. */
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

    private expire(timeoutMilliseconds: number): void {
        this.timedOut = true;
        this.fail(
            new PlatformUnavailableError(
                `The ledger operation did not complete within ${timeoutMilliseconds} ms.`,
                true,
            ),
        );
    }
}
