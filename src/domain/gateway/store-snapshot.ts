/** Everything that a router knows of the platform's store, as one router gives it to another. */
import type { StoredItem } from "./metadata-store.js";
import type { SocketAddress } from "./server-entry.js";

export interface StoreSnapshot {
    /** Revision of the store up to which the items are known. */
    readonly storeRevision: number;
    readonly items: readonly StoredItem[];
}

/** Asks another router for what it knows. */
export interface SnapshotSource {
    /** Undefined if the router knows nothing newer than the revision. Rejects with PeerUnreachableError. */
    readSnapshot(router: SocketAddress, afterRevision: number): Promise<StoreSnapshot | undefined>;
}
