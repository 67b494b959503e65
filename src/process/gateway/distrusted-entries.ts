/**
 * Entries of a copy of the store, which may be older than what is known of their servers. The store may come back from a copy in
 * which servers are registered that have left since, or have stated something else.
 */
import { isDeepStrictEqual } from "node:util";
import { monotonicNow } from "../../common/clock.js";
import { isSameStart, type ServerEntry } from "../../domain/gateway/server-entry.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";

/** An entry as the store holds it. */
export interface RegistryItem {
    readonly entry: ServerEntry;
    /** Of the entry's last change in the store. */
    readonly position: StorePosition;
}

/**
 * A server that is known to have left, or to have stated something newer, is taken at the word of a copy of the store only after
 * this time. The entry of a server that is gone lapses before, after three missed heartbeats of 1.2 s.
 */
const copyDistrustMilliseconds = 10_000;

interface DistrustedItem extends RegistryItem {
    /** Monotonic time in milliseconds. */
    readonly until: number;
}

export class DistrustedEntries {
    private readonly items = new Map<string, DistrustedItem>();

    get size(): number {
        return this.items.size;
    }

    add(item: RegistryItem): void {
        this.items.set(item.entry.id, { ...item, until: monotonicNow() + copyDistrustMilliseconds });
    }

    /** The server has been heard of, or forgotten. */
    delete(id: string): void {
        this.items.delete(id);
    }

    /** Removes and returns the entries whose time is over. */
    takeOutlasted(): RegistryItem[] {
        const now = monotonicNow();
        const outlasted = [...this.items.values()].filter(({ until }) => until <= now);
        outlasted.forEach(({ entry }) => this.items.delete(entry.id));
        return outlasted;
    }
}

/** Whether the server made the entry after the other one, by its start and its heartbeats. */
export function isNewerStatement(entry: ServerEntry, than: ServerEntry): boolean {
    return isSameStart(entry, than) ? entry.heartbeats > than.heartbeats : entry.bornAt > than.bornAt;
}

/** Apart from the heartbeats. */
export function haveSameContent(left: ServerEntry, right: ServerEntry): boolean {
    return isDeepStrictEqual({ ...left, heartbeats: 0 }, { ...right, heartbeats: 0 });
}
