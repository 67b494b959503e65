/**
 * The items of the platform's store as this process last saw them. It passes on what is new to an observer, whichever way
 * it came, and gives everything to routers that the store turns away. Its revision only rises.
 */
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import type { StoreObserver } from "./store-follower.js";

export class StoreImage implements StoreObserver {
    private items = new Map<string, StoredItem>();
    private newestRevision = 0;

    constructor(private readonly observer: StoreObserver) {}

    /** Revision up to which everything is known; 0 before the first read. */
    get revision(): number {
        return this.newestRevision;
    }

    /** Passes over contents that are older than what is known: a read may be overtaken by another router's answer. */
    replaceAll(items: readonly StoredItem[], storeRevision: number, afterOutage: boolean): void {
        if (storeRevision < this.newestRevision) {
            return;
        }
        this.items = new Map(items.map(item => [item.key, item]));
        this.newestRevision = storeRevision;
        this.observer.replaceAll(items, storeRevision, afterOutage);
    }

    applyChanges(changes: readonly ItemChange[], storeRevision: number): void {
        const news = changes.filter(({ revision }) => revision > this.newestRevision);
        for (const { key, revision, value } of news) {
            if (value === undefined) {
                this.items.delete(key);
            }
            else {
                this.items.set(key, { key, revision, value });
            }
        }
        this.newestRevision = Math.max(this.newestRevision, storeRevision);
        this.observer.applyChanges(news, storeRevision);
    }

    /** Undefined if nothing is newer than the revision. */
    snapshotAfter(revision: number): StoreSnapshot | undefined {
        return this.newestRevision > revision
            ? { storeRevision: this.newestRevision, items: [...this.items.values()] }
            : undefined;
    }
}
