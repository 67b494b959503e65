/** A router's cached contents of the platform's store, as transferred between routers. */
import type { StoredItem } from "./metadata-store.js";
import type { SocketAddress } from "./server-entry.js";
import type { StorePosition } from "./store-position.js";

export interface StoreSnapshot {
    /** That the items reflect. */
    readonly position: StorePosition;
    readonly items: readonly StoredItem[];
}

/** Requests the cached store contents of another router. */
export interface SnapshotSource {
    /**
     * Resolves to undefined if the router has nothing newer than the position. Rejects with PeerUnreachableError if the
     * router cannot be read.
     */
    readSnapshot(router: SocketAddress, after: StorePosition): Promise<StoreSnapshot | undefined>;
}
