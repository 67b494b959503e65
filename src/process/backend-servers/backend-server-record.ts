/** This router's mutable state for one incarnation of a backend server. */
import {
    type BackendServerDescription,
    type Holding,
    type LoadReport,
    ServingRole,
} from "../../domain/backend-server.js";
import type { LoadSnapshot } from "./types.js";

export class BackendServerRecord {
    /** Undefined until the holdings have been read or reported for the first time. */
    holdings: readonly Holding[] | undefined;
    role: ServingRole = ServingRole.mixed;
    load: LoadSnapshot | undefined;
    /** Exact number of this router's in-flight attempts with a stage on this server. */
    ownAttempts = 0;
    /** Sum of the token counts that were expected when those attempts began. */
    ownTokens = 0;
    /** Time of the last event or holdings report, in monotonic milliseconds. */
    lastContactAt: number | undefined;
    /** Start of the last read of the holdings, in monotonic milliseconds. */
    holdingsReadAt: number | undefined;
    /** Successive reads of the VM list without this server. */
    consecutiveMissingLists = 0;
    private isLeaving = false;
    private unreachable = false;
    /** Monotonic milliseconds; infinite when the mark does not expire. */
    private unreachableUntil = 0;

    constructor(public description: BackendServerDescription) {}

    get id(): string {
        return this.description.id;
    }

    get leaving(): boolean {
        return this.isLeaving;
    }

    /** Excludes the server from new work permanently. Returns whether the state changed. */
    markLeaving(): boolean {
        const changed = !this.isLeaving;
        this.isLeaving = true;
        return changed;
    }

    /**
     * Marks the server as unreachable until the given monotonic time in milliseconds; by default the mark does not
     * expire. A repeated call can only extend the mark. Returns whether no mark was set before.
     */
    markUnreachable(until = Number.POSITIVE_INFINITY): boolean {
        const changed = !this.unreachable;
        this.unreachable = true;
        this.unreachableUntil = Math.max(until, changed ? 0 : this.unreachableUntil);
        return changed;
    }

    /** Clears the unreachable mark. Returns whether one was set, even if it had expired. */
    markReachable(): boolean {
        const changed = this.unreachable;
        this.unreachable = false;
        return changed;
    }

    isUnreachable(now: number): boolean {
        return this.unreachable && now < this.unreachableUntil;
    }

    /** Clears an unreachable mark that has expired. Returns whether it did. */
    expireUnreachable(now: number): boolean {
        return this.unreachable && now >= this.unreachableUntil && this.markReachable();
    }

    /** Whether the server is neither leaving nor unreachable. */
    isUsable(now: number): boolean {
        return !this.isLeaving && !this.isUnreachable(now);
    }

    setLoad(report: LoadReport, now: number): void {
        this.load = {
            report,
            receivedAt: now,
            ownAttempts: this.ownAttempts,
            ownTokens: this.ownTokens,
        };
    }
}
