/**
 * Records booking outcomes after the caller has received its answer. Outcomes are held in memory while the platform is
 * unavailable. If an outcome is dropped at the limit of pending writes or lost with the process, its claim stays
 * without an outcome: the booking is answered as unknown and never run again.
 */
import { delay } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { BookingLedger, BookingOutcome } from "../../domain/booking-ledger.js";

const maximumPendingWrites = 10_000;
const attemptTimeoutMilliseconds = 5_000;
const retryDelayMilliseconds = 1_000;
const stopTimeoutMilliseconds = 10_000;

export class OutcomeRecorder implements ManagedComponent {
    readonly name = "outcome recorder";
    private readonly pendingWrites = new Set<Promise<void>>();
    private readonly stopping = new AbortController();

    constructor(
        private readonly ledger: BookingLedger,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {}

    async start(): Promise<void> {}

    /** Waits for pending writes, up to the stop timeout, then ends their retries. */
    async stop(): Promise<void> {
        const stopTimeoutCancellation = new AbortController();
        await Promise.race([
            Promise.all(this.pendingWrites),
            delay(stopTimeoutMilliseconds, stopTimeoutCancellation.signal),
        ]);
        stopTimeoutCancellation.abort();
        this.stopping.abort();
    }

    /** Resolves once the outcome is durable or has been dropped, at the limit or because the router stops. */
    record(key: string, claimId: string, outcome: BookingOutcome): Promise<void> {
        if (this.pendingWrites.size >= maximumPendingWrites) {
            this.metrics.increment("pomelostall.bookings.outcomes_dropped");
            return Promise.resolve();
        }
        const pendingWrite = this.writeWithRetry(key, claimId, outcome).finally(() =>
            this.pendingWrites.delete(pendingWrite)
        );
        this.pendingWrites.add(pendingWrite);
        return pendingWrite;
    }

    private async writeWithRetry(key: string, claimId: string, outcome: BookingOutcome): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                await this.ledger.submit({ type: "outcome", key, claimId, outcome }, attemptTimeoutMilliseconds);
                return;
            }
            catch (error) {
                this.logger.debug("booking outcome not recorded; retrying until the router stops", {
                    claimId,
                    error: String(error),
                });
                await delay(retryDelayMilliseconds, this.stopping.signal);
            }
        }
    }
}
