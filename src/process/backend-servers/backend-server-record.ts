/** All that this router knows of one incarnation of a backend server. */
import {
    type BackendServerDescription,
    type Holding,
    type LoadReport,
    ServingRole,
} from "../../domain/backend-server.js";
import type { LoadEvidence } from "./types.js";

export class BackendServerRecord {
    /** Undefined until they were read or reported. */
    holdings: readonly Holding[] | undefined;
    role: ServingRole = ServingRole.mixed;
    load: LoadEvidence | undefined;
    /** This router's own attempts that have a stage here; exact. */
    ownAttempts = 0;
    /** Tokens of those attempts, as expected when they began. */
    ownTokens = 0;
    /** Monotonic times in milliseconds. */
    lastEventAt: number | undefined;
    holdingsReadAt: number | undefined;
    missingFromLists = 0;
    private isLeaving = false;
    private unreachable = false;
    private unreachableUntil = 0;

    constructor(public description: BackendServerDescription) {}

    get id(): string {
        return this.description.id;
    }

    get leaving(): boolean {
        return this.isLeaving;
    }

    /** Takes no new work from now on. False when that was known. */
    markLeaving(): boolean {
        const changed = !this.isLeaving;
        this.isLeaving = true;
        return changed;
    }

    /** Without own evidence the mark ends by itself. False when it was already set. */
    markUnreachable(until = Number.POSITIVE_INFINITY): boolean {
        const changed = !this.unreachable;
        this.unreachable = true;
        this.unreachableUntil = Math.max(until, changed ? 0 : this.unreachableUntil);
        return changed;
    }

    /** True when the server had been unreachable. */
    markReachable(): boolean {
        const changed = this.unreachable;
        this.unreachable = false;
        return changed;
    }

    isUnreachable(now: number): boolean {
        return this.unreachable && now < this.unreachableUntil;
    }

    /** True once when a mark with an end has come to it. */
    expireUnreachable(now: number): boolean {
        return this.unreachable && now >= this.unreachableUntil && this.markReachable();
    }

    /** Whether new work may be sent, as far as this router knows. */
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
