/**
 * Records outcomes after the caller has its answer. They wait in memory while the platform is down; what does not fit, or
 * is lost with the process, leaves a claim without an outcome, which is answered as unknown and never run again.
 */
import { delay } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { BookingLedger, BookingOutcome } from "../../domain/booking-ledger.js";

const maximumWaiting = 10_000;
const attemptTimeoutMilliseconds = 5_000;
const retryDelayMilliseconds = 1_000;
const stopTimeoutMilliseconds = 10_000;

export class OutcomeRecorder implements ManagedComponent {
    readonly name = "outcome recorder";
    private readonly waiting = new Set<Promise<void>>();
    private readonly stopping = new AbortController();

    constructor(
        private readonly ledger: BookingLedger,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {}

    async start(): Promise<void> {}

    /** Gives what waits some time to be written. */
    async stop(): Promise<void> {
        const written = new AbortController();
        await Promise.race([Promise.all(this.waiting), delay(stopTimeoutMilliseconds, written.signal)]);
        written.abort();
        this.stopping.abort();
    }

    /** Resolves once the outcome is durable, or was given up. */
    record(key: string, claimId: string, outcome: BookingOutcome): Promise<void> {
        if (this.waiting.size >= maximumWaiting) {
            this.metrics.increment("pomelostall.bookings.outcomes_dropped");
            return Promise.resolve();
        }
        const writing = this.write(key, claimId, outcome).finally(() => this.waiting.delete(writing));
        this.waiting.add(writing);
        return writing;
    }

    private async write(key: string, claimId: string, outcome: BookingOutcome): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                await this.ledger.submit({ type: "outcome", key, claimId, outcome }, attemptTimeoutMilliseconds);
                return;
            }
            catch (error) {
                this.logger.debug("an outcome is not recorded yet", { claimId, error: String(error) });
                await delay(retryDelayMilliseconds, this.stopping.signal);
            }
        }
    }
}
