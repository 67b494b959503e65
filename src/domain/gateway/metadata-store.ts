/**
 * The platform's key-value service as the gateway uses it: items under one rising revision, leases, conditional writes
 * and waiting reads of changes. Every failure is a PlatformUnavailableError unless a method says otherwise.
 */

export interface StoredItem {
    readonly key: string;
    readonly value: Buffer;
    /** Revision of the last change. */
    readonly revision: number;
}

/** A change of one key; without a value it was removed. */
export interface ItemChange {
    readonly key: string;
    readonly revision: number;
    readonly value: Buffer | undefined;
}

export interface ItemPage {
    readonly items: readonly StoredItem[];
    readonly hasMore: boolean;
    /** The store's revision when the page was read. */
    readonly storeRevision: number;
}

export interface ChangeBatch {
    readonly changes: readonly ItemChange[];
    /** Where the next read goes on. */
    readonly storeRevision: number;
}

export interface ItemCondition {
    readonly key: string;
    /** 0: the key must not exist. */
    readonly revision: number;
}

export interface ItemWrite {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId?: number;
}

export interface ConditionalWrite {
    readonly conditions: readonly ItemCondition[];
    readonly writes: readonly ItemWrite[];
}

export interface MetadataStore {
    /** Items whose keys begin with the prefix and come after the given key. */
    readPage(prefix: string, afterKey?: string): Promise<ItemPage>;
    /**
     * Waits until something under the prefix has changed after the revision, or the time is over. Rejects with
     * HistoryLostError if the store has forgotten changes after the revision.
     */
    readChanges(prefix: string, afterRevision: number, waitMilliseconds: number): Promise<ChangeBatch>;
    /** Writes all or nothing; false if a condition does not hold. */
    commit(write: ConditionalWrite): Promise<boolean>;
    grantLease(timeToLiveMilliseconds: number): Promise<number>;
    /** Rejects with LeaseLostError if the lease has ended. */
    renewLease(leaseId: number): Promise<void>;
    revokeLease(leaseId: number): Promise<void>;
    close(): void;
}
