/** What the registry of servers knows of one server. */
import { monotonicNow } from "../../common/clock.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { StorePosition } from "../../domain/gateway/store-position.js";

/** A backend server's registry entry and whether the server is leaving. */
export interface RegisteredServer {
    readonly entry: ServerEntry;
    /** Monotonic time at which this process learnt that the server is leaving or was removed; undefined otherwise. */
    readonly leavingSince: number | undefined;
    /** Whether the server is no longer in the registry. */
    readonly removed: boolean;
}

export interface Registration extends RegisteredServer {
    /** Of the last change or read that was applied to the server. */
    readonly position: StorePosition;
    /**
     * Registrations expire during an outage of the store. A server that is missing afterwards is treated as present
     * until this monotonic time; undefined for all others.
     */
    readonly graceEndsAt: number | undefined;
}

/** Whether the server is leaving or gone, rather than missing since an outage of the store. */
export function hasLeft({ leavingSince, graceEndsAt }: Registration): boolean {
    return leavingSince !== undefined && (graceEndsAt ?? 0) <= monotonicNow();
}
