/**
 * Watches all keys under a prefix of the platform's store: one full read, then long polls for changes after the last
 * known revision. After a failure, or if the store no longer holds the changes after that revision, it starts again
 * with a full read: a long poll may have missed changes, and would not show at once that the store is available again.
 * Calls count against the store's rate limit, which the whole fleet shares, so changes in quick succession are fetched
 * together and failed calls are retried with jittered exponential backoff.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { ItemPage, MetadataStore, StoredItem } from "../../domain/gateway/metadata-store.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";
import { HistoryLostError, StaleConnectionError } from "../../errors/index.js";
import type { StoreEra } from "./store-era.js";
import type { StoreReader } from "./store-observer.js";

/**
 * The store answers a long poll after this time even without changes. Together with the store client's timeout margin, this
 * detects a single dead connection within 3 s, the time for which the requirements treat a router with a reset connection as
 * disconnected. The store client detects earlier that all open connections are dead.
 */
const longPollMilliseconds = 2_500;
const initialRetryDelayMilliseconds = 100;
const maximumRetryDelayMilliseconds = 500;

export class StoreWatcher implements ManagedComponent {
    readonly name = "store watcher";
    private readonly stopping = new AbortController();
    private position: StorePosition | undefined;
    private consecutiveFailures = 0;
    private failedSince: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly prefix: string,
        private readonly era: Pick<StoreEra, "current">,
        private readonly observer: StoreReader,
        private readonly random: RandomSource,
        /** Milliseconds within which changes are collected, so that one call fetches all of them. */
        private readonly batchingDelay: () => number,
        private readonly logger: Logger,
    ) {}

    /** Monotonic time of the first failed call of the current outage; undefined while the store answers. */
    get unavailableSince(): number | undefined {
        return this.failedSince;
    }

    async start(): Promise<void> {
        this.running = this.watch();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        this.store.close();
        await this.running;
    }

    private async watch(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                const changed = await this.readNext();
                this.handleSuccess();
                await delay(changed ? this.batchingDelay() : 0, this.stopping.signal);
            }
            catch (error) {
                if (error instanceof StaleConnectionError) {
                    this.logStaleConnection();
                }
                else if (!this.stopping.signal.aborted) {
                    await this.handleFailure(error);
                }
            }
        }
    }

    private logStaleConnection(): void {
        if (this.position?.era === this.era.current) {
            this.logger.info("connection to the store went silent; reading changes on a new one", {
                revision: this.position.revision,
            });
        }
    }

    /** Reads everything or the next changes; returns whether the contents may have changed. */
    private async readNext(): Promise<boolean> {
        if (this.position === undefined || this.position.era !== this.era.current) {
            await this.readAll();
            return true;
        }
        const batch = await this.store.readChanges(this.prefix, this.position, longPollMilliseconds);
        if (batch.position.era !== this.position.era) {
            // A revision that exists again names another change.
            await this.readAll();
            return true;
        }
        if (batch.changes.length > 0) {
            this.observer.applyChanges(batch.changes, batch.position);
        }
        this.position = batch.position.revision > this.position.revision ? batch.position : this.position;
        return batch.changes.length > 0;
    }

    /** The pages are not a consistent snapshot, so the next read begins at the revision of the first page. */
    private async readAll(): Promise<void> {
        const items: StoredItem[] = [];
        let page = await this.store.readPage(this.prefix);
        const { position } = page;
        items.push(...page.items);
        while (page.hasMore) {
            page = await this.readPageOf(position, items.at(-1)?.key);
            items.push(...page.items);
        }
        this.observer.replaceAll(items, position, this.failedSince !== undefined);
        this.position = position;
    }

    /** Throws HistoryLostError if the store has come back from a copy since the first page. */
    private async readPageOf(first: StorePosition, afterKey: string | undefined): Promise<ItemPage> {
        const page = await this.store.readPage(this.prefix, afterKey);
        if (page.position.era !== first.era) {
            throw new HistoryLostError(first.revision);
        }
        return page;
    }

    private handleSuccess(): void {
        if (this.failedSince !== undefined) {
            const milliseconds = Math.round(monotonicNow() - this.failedSince);
            this.logger.info("store available again", { milliseconds, revision: this.position?.revision });
        }
        this.consecutiveFailures = 0;
        this.failedSince = undefined;
    }

    private async handleFailure(error: unknown): Promise<void> {
        if (error instanceof HistoryLostError) {
            this.logger.warn(
                "store no longer holds the changes after the last known revision; reading all keys again",
                { revision: this.position?.revision },
            );
        }
        else if (this.failedSince === undefined) {
            this.failedSince = monotonicNow();
            this.logger.warn("store unavailable; retrying until it answers", {
                error: String(error),
                revision: this.position?.revision,
            });
        }
        this.position = undefined;
        const backoff = Math.min(
            maximumRetryDelayMilliseconds,
            initialRetryDelayMilliseconds * 2 ** this.consecutiveFailures++,
        );
        await delay(backoff * (0.5 + this.random.next() / 2), this.stopping.signal);
    }
}
