/** Those who receive the contents of the platform's store. */
import type { ItemChange, StoredItem } from "../../domain/gateway/metadata-store.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";

/** What a full read follows, which decides what the missing keys mean. */
export const ReadContext = {
    /** Missing keys do not exist. */
    continuous: "continuous",
    /** The leases of missing keys may have expired in an outage of the store. */
    afterOutage: "after-outage",
    /**
     * The store has come back from a copy: keys may be missing that were written since, and others may hold again what was
     * replaced or deleted.
     */
    newEra: "new-era",
} as const;
export type ReadContext = typeof ReadContext[keyof typeof ReadContext];

/** Receives reads of the store, in any order. */
export interface StoreReader {
    /** Receives all items under the prefix as of the position. */
    replaceAll(items: readonly StoredItem[], position: StorePosition, afterOutage: boolean): void;
    /** `position` is the store's after the changes. */
    applyChanges(changes: readonly ItemChange[], position: StorePosition): void;
}

/** Receives the contents of the store and their changes, in order. */
export interface StoreObserver {
    replaceAll(items: readonly StoredItem[], position: StorePosition, context: ReadContext): void;
    applyChanges(changes: readonly ItemChange[]): void;
}
