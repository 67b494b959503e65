/** An operation that is queued for its shard's writer, with the caller's timeout. */
import type { LedgerResult } from "../../domain/booking-ledger.js";
import { PlatformUnavailableError, type PomelostallError } from "../../errors/index.js";
import type { ShardOperation } from "./shard-state.js";

export class PendingOperation {
    readonly result: Promise<LedgerResult>;
    private resolveResult!: (result: LedgerResult) => void;
    private rejectResult!: (error: PomelostallError) => void;
    private readonly timer: ReturnType<typeof setTimeout> | undefined;
    private timedOut = false;

    /** Without a timeout, the operation is pending until it completes or the shard's writer stops. */
    constructor(readonly operation: ShardOperation, timeoutMilliseconds?: number) {
        this.result = new Promise((resolve, reject) => {
            this.resolveResult = resolve;
            this.rejectResult = reject;
        });
        // The caller may no longer await the result; a rejection must not count as unhandled then.
        this.result.catch(() => undefined);
        if (timeoutMilliseconds !== undefined) {
            this.timer = setTimeout(() => this.expire(timeoutMilliseconds), Math.max(0, timeoutMilliseconds));
        }
    }

    /** Whether the timeout has elapsed, so that the caller has already received an error. */
    get hasTimedOut(): boolean {
        return this.timedOut;
    }

    complete(result: LedgerResult): void {
        clearTimeout(this.timer);
        this.resolveResult(result);
    }

    reject(error: PomelostallError): void {
        clearTimeout(this.timer);
        this.rejectResult(error);
    }

    private expire(timeoutMilliseconds: number): void {
        this.timedOut = true;
        this.rejectResult(
            new PlatformUnavailableError(
                `The ledger operation did not complete within ${timeoutMilliseconds} ms.`,
                true,
            ),
        );
    }
}
