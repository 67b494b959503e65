/**
 * The platform's key-value service as used by the gateway: items with a store-wide increasing revision, leases,
 * conditional writes, and long polling for changes. Every failure is a PlatformUnavailableError unless a method says
 * otherwise.
 */
import type { StoreLease, StorePosition } from "./store-position.js";

export interface StoredItem {
    readonly key: string;
    readonly value: Buffer;
    /** Of the item's last change. */
    readonly position: StorePosition;
}

/** A change of one key; the value is undefined if the key was deleted. */
export interface ItemChange {
    readonly key: string;
    readonly position: StorePosition;
    readonly value: Buffer | undefined;
}

export interface ItemPage {
    readonly items: readonly StoredItem[];
    readonly hasMore: boolean;
    /** Of the store when the page was read. */
    readonly position: StorePosition;
}

export interface ChangeBatch {
    readonly changes: readonly ItemChange[];
    /**
     * From which the next read continues. If it is of another era than the position from which the changes were read, they
     * belong to another history.
     */
    readonly position: StorePosition;
}

export interface ItemCondition {
    readonly key: string;
    /** Required position of the last change; undefined if the key must not exist. */
    readonly position: StorePosition | undefined;
}

export interface ItemWrite {
    readonly key: string;
    readonly value: Buffer;
    readonly lease?: StoreLease;
}

export interface ConditionalWrite {
    readonly conditions: readonly ItemCondition[];
    readonly writes: readonly ItemWrite[];
}

export interface MetadataStore {
    /** Reads items whose keys start with the prefix and sort after the given key. */
    readPage(prefix: string, afterKey?: string): Promise<ItemPage>;
    /**
     * Waits until a key with the prefix has changed after the position, or until the wait time has elapsed. Rejects
     * with HistoryLostError if the store no longer keeps all changes after the position, and with StaleConnectionError if the
     * connection is lost while the store answers on new ones, or if the era changes meanwhile; the next read can then follow at
     * once.
     */
    readChanges(prefix: string, after: StorePosition, waitMilliseconds: number): Promise<ChangeBatch>;
    /**
     * Applies all writes or none. Resolves to false if a condition is not met, or if a lease has ended or is of an earlier
     * era.
     */
    commit(write: ConditionalWrite): Promise<boolean>;
    grantLease(timeToLiveMilliseconds: number): Promise<StoreLease>;
    /** Renews a lease. Rejects with LeaseLostError if it has ended or is of an earlier era. */
    renewLease(lease: StoreLease): Promise<void>;
    /** Does nothing for a lease of an earlier era, whose ID may be another's. */
    revokeLease(lease: StoreLease): Promise<void>;
    close(): void;
}
