/** A router's cached contents of the platform's store, as transferred between routers. */
import type { StoredItem } from "./metadata-store.js";
import type { SocketAddress } from "./server-entry.js";

export interface StoreSnapshot {
    /** Store revision that the items reflect. */
    readonly storeRevision: number;
    readonly items: readonly StoredItem[];
}

/** Requests the cached store contents of another router. */
export interface SnapshotSource {
    /**
     * Resolves to undefined if the router has nothing newer than the revision. Rejects with PeerUnreachableError if the
     * router cannot be read.
     */
    readSnapshot(router: SocketAddress, afterRevision: number): Promise<StoreSnapshot | undefined>;
}
