/**
 * In-memory copy of the items under the platform's store prefix, updated from the store and from other routers.
 * Forwards new contents to an observer, and provides snapshots for routers that cannot reach the store. Its position
 * never decreases.
 */
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import { comparePositions, initialPosition, type StorePosition } from "../../domain/gateway/store-position.js";
import type { StoreSnapshot } from "../../domain/gateway/store-snapshot.js";
import { ReadContext, type StoreObserver, type StoreReader } from "./store-observer.js";

export class StoreCache implements StoreReader {
    private items = new Map<string, StoredItem>();
    private latest = initialPosition;
    private isLoaded = false;

    constructor(private readonly observer: StoreObserver) {}

    /** Position of the copy; the initial one before the first read. */
    get position(): StorePosition {
        return this.latest;
    }

    get hasContents(): boolean {
        return this.isLoaded;
    }

    /**
     * Ignores contents older than the copy: a snapshot from another router may arrive before a slower read of the
     * store.
     */
    replaceAll(items: readonly StoredItem[], position: StorePosition, afterOutage: boolean): void {
        if (comparePositions(position, this.latest) < 0) {
            return;
        }
        const isNewEra = this.isLoaded && position.era > this.latest.era;
        const context = isNewEra
            ? ReadContext.newEra
            : (afterOutage ? ReadContext.afterOutage : ReadContext.continuous);
        this.items = new Map(items.map(item => [item.key, item]));
        this.latest = position;
        this.isLoaded = true;
        this.observer.replaceAll(items, position, context);
    }

    /** Ignores changes of another era than the copy's: either side of them may be missing. */
    applyChanges(changes: readonly ItemChange[], position: StorePosition): void {
        if (position.era !== this.latest.era) {
            return;
        }
        const newChanges = changes.filter(change => comparePositions(change.position, this.latest) > 0);
        for (const { key, position: changedAt, value } of newChanges) {
            if (value === undefined) {
                this.items.delete(key);
            }
            else {
                this.items.set(key, { key, position: changedAt, value });
            }
        }
        this.latest = comparePositions(position, this.latest) > 0 ? position : this.latest;
        this.observer.applyChanges(newChanges);
    }

    /** All items, if the copy is newer than the position; otherwise undefined. */
    snapshotAfter(position: StorePosition): StoreSnapshot | undefined {
        return comparePositions(this.latest, position) > 0
            ? { position: this.latest, items: [...this.items.values()] }
            : undefined;
    }
}
