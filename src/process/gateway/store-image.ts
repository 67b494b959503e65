/**
 * In-memory copy of the items under the platform's store prefix, updated from the store and from other routers.
 * Forwards new contents to an observer, and provides snapshots for routers that cannot reach the store. Its revision
 * never decreases.
 */
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import type { StoreObserver } from "./store-follower.js";

export class StoreCache implements StoreObserver {
    private items = new Map<string, StoredItem>();
    private latestRevision = 0;

    constructor(private readonly observer: StoreObserver) {}

    /** Store revision of the copy; 0 before the first read. */
    get revision(): number {
        return this.latestRevision;
    }

    /**
     * Ignores contents older than the copy: a snapshot from another router may arrive before a slower read of the
     * store.
     */
    replaceAll(items: readonly StoredItem[], storeRevision: number, afterOutage: boolean): void {
        if (storeRevision < this.latestRevision) {
            return;
        }
        this.items = new Map(items.map(item => [item.key, item]));
        this.latestRevision = storeRevision;
        this.observer.replaceAll(items, storeRevision, afterOutage);
    }

    applyChanges(changes: readonly ItemChange[], storeRevision: number): void {
        const newChanges = changes.filter(({ revision }) => revision > this.latestRevision);
        for (const { key, revision, value } of newChanges) {
            if (value === undefined) {
                this.items.delete(key);
            }
            else {
                this.items.set(key, { key, revision, value });
            }
        }
        this.latestRevision = Math.max(this.latestRevision, storeRevision);
        this.observer.applyChanges(newChanges, storeRevision);
    }

    /** All items, if the copy is newer than the revision; otherwise undefined. */
    snapshotAfter(revision: number): StoreSnapshot | undefined {
        return this.latestRevision > revision
            ? { storeRevision: this.latestRevision, items: [...this.items.values()] }
            : undefined;
    }
}
