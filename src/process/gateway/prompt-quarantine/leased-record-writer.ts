/**
 * Writes small records to the platform's store that remove themselves: each is bound to a lease that is never renewed.
 * Records wait in a bounded queue while the store is unavailable. A write whose outcome is unknown is repeated under the
 * same key, which must not exist, so it takes effect once at most. A lease of an earlier era of the store counts as ended.
 */
import { delay, monotonicNow } from "../../../common/clock.js";
import type { ManagedComponent } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { RandomSource } from "../../../common/random.js";
import { TokenBucket } from "../../../common/token-bucket.js";
import type { MetadataStore } from "../../../domain/gateway/metadata-store.js";
import type { StoreLease } from "../../../domain/gateway/store-position.js";
import { PlatformUnavailableError } from "../../../errors/index.js";

export interface LeasedRecord {
    readonly key: string;
    readonly value: Buffer;
    /** Shorter than that of the writer's settings, for a record that is written again. */
    readonly leaseMilliseconds?: number;
}

export interface LeasedRecordSettings {
    readonly leaseMilliseconds: number;
    /** Records written within this time share a lease, so the later ones live shorter by up to this time. */
    readonly leaseSharingMilliseconds: number;
}

const maximumQueuedRecords = 32;
/** The fleet shares the store's rate of writes; a loss of many servers gives every router much to report. */
const writesPerSecond = 2;
const burstWrites = 8;
const initialRetryDelayMilliseconds = 200;
const maximumRetryDelayMilliseconds = 2_000;

interface SharedLease {
    readonly lease: StoreLease;
    readonly grantedAt: number;
}

export class LeasedRecordWriter implements ManagedComponent {
    readonly name = "leased record writer";
    private readonly stopping = new AbortController();
    private readonly queue: LeasedRecord[] = [];
    private readonly rate = new TokenBucket(writesPerSecond, burstWrites);
    private shared: SharedLease | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly settings: LeasedRecordSettings,
        private readonly random: RandomSource,
        private readonly logger: Logger,
    ) {}

    async start(): Promise<void> {}

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    /** Resolves once no record waits to be written. */
    async waitUntilWritten(): Promise<void> {
        await this.running;
    }

    write(record: LeasedRecord): void {
        this.queue.push(record);
        if (this.queue.length > maximumQueuedRecords) {
            this.logger.warn("record not written to the store; too many are waiting", { key: this.queue.shift()!.key });
        }
        this.running ??= this.writeAll();
    }

    private async writeAll(): Promise<void> {
        let failures = 0;
        while (this.queue.length > 0 && !this.stopping.signal.aborted) {
            await delay(this.rate.tryTake(), this.stopping.signal);
            const record = this.queue[0]!;
            try {
                await this.commit(record);
                failures = 0;
                this.removeFromQueue(record);
            }
            catch (error) {
                if (!(error instanceof PlatformUnavailableError)) {
                    this.removeFromQueue(record);
                    this.logger.error("record not written to the store", { key: record.key, error: String(error) });
                    continue;
                }
                await this.waitAfterFailure(failures++, error);
            }
        }
        this.running = undefined;
    }

    /** Unless it was dropped while its write was running. */
    private removeFromQueue(record: LeasedRecord): void {
        if (this.queue[0] === record) {
            this.queue.shift();
        }
    }

    private async waitAfterFailure(failures: number, error: PlatformUnavailableError): Promise<void> {
        if (failures === 0) {
            this.logger.warn("could not write a record to the store; retrying", { error: error.message });
        }
        const backoff = Math.min(maximumRetryDelayMilliseconds, initialRetryDelayMilliseconds * 2 ** failures);
        await delay(backoff * (0.5 + this.random.next() / 2), this.stopping.signal);
    }

    /** A commit without effect means that the lease has ended or that the key exists; a new lease tells them apart. */
    private async commit(record: LeasedRecord): Promise<void> {
        if (!await this.commitUnder(await this.leaseFor(record), record)) {
            this.shared = undefined;
            await this.commitUnder(await this.leaseFor(record), record);
        }
    }

    private commitUnder(lease: StoreLease, { key, value }: LeasedRecord): Promise<boolean> {
        return this.store.commit({ conditions: [{ key, position: undefined }], writes: [{ key, value, lease }] });
    }

    private async leaseFor({ leaseMilliseconds: ownMilliseconds }: LeasedRecord): Promise<StoreLease> {
        const { leaseMilliseconds, leaseSharingMilliseconds } = this.settings;
        if (ownMilliseconds !== undefined) {
            return this.store.grantLease(ownMilliseconds);
        }
        const grantedAt = monotonicNow();
        if (this.shared === undefined || grantedAt - this.shared.grantedAt > leaseSharingMilliseconds) {
            this.shared = { lease: await this.store.grantLease(leaseMilliseconds), grantedAt };
        }
        return this.shared.lease;
    }
}
