/**
 * Follows everything under a prefix of the platform's store: one full read, then waiting reads of changes from the last
 * revision on. After a lost history or a failure it reads everything again, since a waiting read may have missed changes
 * and would not notice the store's return. Each call costs the fleet a share of the store's rate, so changes that come in
 * quick succession are fetched together, and failures are retried with a growing, jittered pause.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { Managed } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { ItemChange, MetadataStore, StoredItem } from "../../domain/gateway/metadata-store.js";
import { HistoryLostError } from "../../errors/index.js";

/** Receives what the store holds. */
export interface StoreObserver {
    /** Everything under the prefix, as of the revision; what is not in it does not exist, or lapsed in an outage. */
    replaceAll(items: readonly StoredItem[], storeRevision: number, afterOutage: boolean): void;
    applyChanges(changes: readonly ItemChange[], storeRevision: number): void;
}

/**
 * A waiting read is answered after this time without changes. With the client's slack it bounds how long a dead link goes
 * unnoticed: 3 s, the time for which the users count a router with a reset link as out of touch.
 */
const waitMilliseconds = 2_500;
/** Changes within this time are fetched with one call. A tenth of the time in which a configuration must be in force. */
const gatherMilliseconds = 200;
const firstRetryMilliseconds = 100;
const maximumRetryMilliseconds = 500;

export class StoreFollower implements Managed {
    readonly name = "store follower";
    private readonly stopping = new AbortController();
    private revision: number | undefined;
    private failures = 0;
    private failedSince: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly prefix: string,
        private readonly observer: StoreObserver,
        private readonly random: RandomSource,
        private readonly logger: Logger,
    ) {}

    /** Since when the store has not answered, or undefined while it does. */
    get unreachableSince(): number | undefined {
        return this.failedSince;
    }

    async start(): Promise<void> {
        this.running = this.follow();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        this.store.close();
        await this.running;
    }

    private async follow(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                const changed = await this.readOnce();
                this.noteSuccess();
                await delay(changed ? gatherMilliseconds : 0, this.stopping.signal);
            }
            catch (error) {
                if (!this.stopping.signal.aborted) {
                    await this.noteFailure(error);
                }
            }
        }
    }

    /** Whether anything was new. */
    private async readOnce(): Promise<boolean> {
        if (this.revision === undefined) {
            await this.readEverything();
            return true;
        }
        const batch = await this.store.readChanges(this.prefix, this.revision, waitMilliseconds);
        if (batch.changes.length > 0) {
            this.observer.applyChanges(batch.changes, batch.storeRevision);
        }
        this.revision = Math.max(this.revision, batch.storeRevision);
        return batch.changes.length > 0;
    }

    /** Pages are no snapshot, so the changes since the first page are read again afterwards. */
    private async readEverything(): Promise<void> {
        const items: StoredItem[] = [];
        let page = await this.store.readPage(this.prefix);
        const { storeRevision } = page;
        items.push(...page.items);
        while (page.hasMore) {
            page = await this.store.readPage(this.prefix, items.at(-1)?.key);
            items.push(...page.items);
        }
        this.observer.replaceAll(items, storeRevision, this.failedSince !== undefined);
        this.revision = storeRevision;
    }

    private noteSuccess(): void {
        if (this.failedSince !== undefined) {
            const milliseconds = Math.round(monotonicNow() - this.failedSince);
            this.logger.info("store reachable again", { milliseconds, revision: this.revision });
        }
        this.failures = 0;
        this.failedSince = undefined;
    }

    private async noteFailure(error: unknown): Promise<void> {
        if (error instanceof HistoryLostError) {
            this.logger.warn("store history lost; reading everything again", { revision: this.revision });
        }
        else if (this.failedSince === undefined) {
            this.failedSince = monotonicNow();
            this.logger.warn("store unreachable", { error: String(error), revision: this.revision });
        }
        this.revision = undefined;
        const pause = Math.min(maximumRetryMilliseconds, firstRetryMilliseconds * 2 ** this.failures++);
        await delay(pause * (0.5 + this.random.next() / 2), this.stopping.signal);
    }
}
