/**
 * The lease that makes one router the placement holder, and the fencing number that rises with each holder.
 *
 * The holder's key is bound to the platform's lease and vanishes when that lapses. The number lives in a key without a
 * lease; one transaction raises it and takes the holder's key, so no two holders share a number. The holder's own end
 * of the lease is counted on the monotonic clock from before the call that granted or renewed it, which is never later
 * than the platform's end of it.
 */
import { randomUUID } from "node:crypto";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { KeyValueEntry, KeyValueService } from "../../domain/platform.js";
import { PlatformUnavailableError } from "../../errors/index.js";
import {
    clockErrorMilliseconds,
    leaseMarginMilliseconds,
    leaseTimeToLiveMilliseconds,
    longestOrderMilliseconds,
    platformTimeoutMilliseconds,
} from "./constants.js";

export const placementHolderKey = "placement/holder";
export const placementFencingKey = "placement/fencing";

/** Who holds the lease. */
export interface HolderRecord {
    readonly router: string;
    /** Base URL of the router's operator interface. */
    readonly address: string;
    readonly fencingNumber: number;
    /** Names one take-over, so that a router recognises its own write when the answer was lost. */
    readonly takeOverId: string;
}

/** The last fencing number that was given out. */
interface FencingRecord {
    readonly fencingNumber: number;
    /** Longest deadline of that holder's orders. */
    readonly longestOrderMilliseconds: number;
    /** Whether the holder has waited for all of its orders before it gave the lease up. */
    readonly settled: boolean;
}

export interface PlacementLeaseOptions {
    readonly router: string;
    readonly address: string;
    readonly timeToLiveMilliseconds?: number;
    readonly marginMilliseconds?: number;
    readonly longestOrderMilliseconds?: number;
    readonly clockErrorMilliseconds?: number;
}

interface HeldLease {
    readonly leaseId: string;
    readonly record: HolderRecord;
    readonly settleUntil: number;
    expiresAt: number;
}

/** A take-over whose answer was lost. */
interface PendingTakeOver {
    readonly leaseId: string;
    readonly record: HolderRecord;
    readonly expiresAt: number;
    readonly settleMilliseconds: number;
}

export class PlacementLease {
    private held: HeldLease | undefined;
    private pending: PendingTakeOver | undefined;
    private readonly timeToLive: number;
    private readonly margin: number;
    private longestOrder: number;
    private readonly clockError: number;

    constructor(
        private readonly platform: KeyValueService,
        private readonly options: PlacementLeaseOptions,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {
        this.timeToLive = options.timeToLiveMilliseconds ?? leaseTimeToLiveMilliseconds;
        this.margin = options.marginMilliseconds ?? leaseMarginMilliseconds;
        this.longestOrder = options.longestOrderMilliseconds ?? longestOrderMilliseconds;
        this.clockError = options.clockErrorMilliseconds ?? clockErrorMilliseconds;
    }

    /** The fencing number while the lease is held, and undefined otherwise. */
    get fencingNumber(): number | undefined {
        return this.isHeld ? this.held?.record.fencingNumber : undefined;
    }

    /** Whether the lease is held for at least the margin longer. Looks at the clock anew with each call. */
    get isHeld(): boolean {
        return this.held !== undefined && monotonicNow() < this.held.expiresAt - this.margin;
    }

    /**
     * Whether an order may be sent now. Backend servers that ignore the fencing number get none until the last order
     * of the holder before can no longer take effect.
     */
    mayOrder(honoursFencing: boolean): boolean {
        return this.isHeld && (honoursFencing || monotonicNow() >= this.held!.settleUntil);
    }

    /** Milliseconds until backend servers that ignore the fencing number may get orders; 0 from then on. */
    get settleMilliseconds(): number {
        return this.held === undefined ? 0 : Math.max(0, this.held.settleUntil - monotonicNow());
    }

    /** No order may have a longer deadline. */
    get longestOrderMilliseconds(): number {
        return this.longestOrder;
    }

    /**
     * Allows orders with deadlines up to the given time. It is written to the platform first, since the next holder
     * waits that long for the last of them.
     */
    async allowOrderTime(milliseconds: number): Promise<void> {
        const { held } = this;
        if (milliseconds <= this.longestOrder) {
            return;
        }
        if (held !== undefined && !await this.updateFencing(held, { longestOrderMilliseconds: milliseconds })) {
            return;
        }
        this.longestOrder = milliseconds;
    }

    /** The present holder as the platform knows it. */
    async readHolder(): Promise<HolderRecord | undefined> {
        const entry = await this.platform.get(placementHolderKey, platformTimeoutMilliseconds);
        return entry === undefined ? undefined : decode<HolderRecord>(entry);
    }

    /** Tries to become the holder. False while another router is, or the platform can't tell. */
    async tryAcquire(): Promise<boolean> {
        try {
            return await this.acquire();
        }
        catch (error) {
            if (error instanceof PlatformUnavailableError) {
                this.logger.debug("the placement lease can't be asked for", { error: error.message });
                return false;
            }
            throw error;
        }
    }

    private async acquire(): Promise<boolean> {
        const holder = await this.readHolder();
        if (holder !== undefined) {
            return this.adoptPending(holder);
        }
        this.pending = undefined;
        const counter = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const grantedFrom = monotonicNow();
        const leaseId = await this.platform.grantLease(this.timeToLive, platformTimeoutMilliseconds);
        const previous = counter === undefined ? undefined : decode<FencingRecord>(counter);
        const record: HolderRecord = {
            router: this.options.router,
            address: this.options.address,
            fencingNumber: (previous?.fencingNumber ?? 0) + 1,
            takeOverId: randomUUID(),
        };
        this.pending = {
            leaseId,
            record,
            expiresAt: grantedFrom + this.timeToLive,
            settleMilliseconds: this.settleTime(previous),
        };
        return this.takeOver(counter, this.pending);
    }

    private settleTime(previous: FencingRecord | undefined): number {
        return previous === undefined || previous.settled
            ? 0
            : this.timeToLive + previous.longestOrderMilliseconds + this.clockError;
    }

    private async takeOver(counter: KeyValueEntry | undefined, pending: PendingTakeOver): Promise<boolean> {
        const fencing: FencingRecord = {
            fencingNumber: pending.record.fencingNumber,
            longestOrderMilliseconds: this.longestOrder,
            settled: false,
        };
        try {
            const result = await this.platform.transact({
                conditions: [
                    { key: placementHolderKey, revision: 0 },
                    { key: placementFencingKey, revision: counter?.revision ?? 0 },
                ],
                writes: [
                    { kind: "put", key: placementHolderKey, value: encode(pending.record), leaseId: pending.leaseId },
                    { kind: "put", key: placementFencingKey, value: encode(fencing) },
                ],
            }, platformTimeoutMilliseconds);
            if (result.succeeded) {
                return this.become(pending);
            }
            this.pending = undefined;
            await this.platform.revokeLease(pending.leaseId, platformTimeoutMilliseconds);
            return false;
        }
        catch (error) {
            if (error instanceof PlatformUnavailableError && error.mayHaveTakenEffect && this.pending !== undefined) {
                const holder = await this.readHolder();
                return holder !== undefined && this.adoptPending(holder);
            }
            throw error;
        }
    }

    /** Becomes the holder if the record is that of a take-over whose answer was lost. */
    private adoptPending(holder: HolderRecord): boolean {
        const { pending } = this;
        return pending !== undefined && pending.record.takeOverId === holder.takeOverId && this.become(pending);
    }

    private become(pending: PendingTakeOver): boolean {
        this.pending = undefined;
        if (monotonicNow() >= pending.expiresAt - this.margin) {
            return false;
        }
        this.held = {
            leaseId: pending.leaseId,
            record: pending.record,
            expiresAt: pending.expiresAt,
            settleUntil: monotonicNow() + pending.settleMilliseconds,
        };
        this.metrics.increment("pomelostall.placement.lease.taken");
        this.logger.info("took the placement lease", {
            fencingNumber: pending.record.fencingNumber,
            settleMilliseconds: pending.settleMilliseconds,
        });
        return true;
    }

    /** Renews the lease. False when it is lost; a platform that does not answer leaves the present end as it is. */
    async renew(): Promise<boolean> {
        const { held } = this;
        if (held === undefined || !this.isHeld) {
            this.lose("it lapsed before it was renewed");
            return false;
        }
        const renewedFrom = monotonicNow();
        try {
            await this.platform.keepLeaseAlive(held.leaseId, platformTimeoutMilliseconds);
            const holder = await this.readHolder();
            if (holder?.takeOverId !== held.record.takeOverId) {
                this.lose("another router holds it");
                return false;
            }
            held.expiresAt = renewedFrom + this.timeToLive;
        }
        catch (error) {
            if (!(error instanceof PlatformUnavailableError)) {
                this.lose(String(error));
                return false;
            }
        }
        return this.isHeld;
    }

    /**
     * Raises the fencing number above one that a backend server has seen, which happens after the platform lost data.
     * False when the lease was lost on the way.
     */
    async raiseAbove(seen: number): Promise<boolean> {
        this.logger.warn("a backend server has seen a higher fencing number; taking the lease anew", { seen });
        const { held } = this;
        if (held === undefined) {
            return false;
        }
        const counter = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const entry = await this.platform.get(placementHolderKey, platformTimeoutMilliseconds);
        const isOwn = entry !== undefined && decode<HolderRecord>(entry).takeOverId === held.record.takeOverId;
        if (counter === undefined || !isOwn) {
            this.lose("another router holds it");
            return false;
        }
        const fencingNumber = Math.max(seen, decode<FencingRecord>(counter).fencingNumber) + 1;
        const record: HolderRecord = { ...held.record, fencingNumber };
        const fencing: FencingRecord = {
            fencingNumber,
            longestOrderMilliseconds: this.longestOrder,
            settled: false,
        };
        const result = await this.platform.transact({
            conditions: [
                { key: placementHolderKey, revision: entry.revision },
                { key: placementFencingKey, revision: counter.revision },
            ],
            writes: [
                { kind: "put", key: placementHolderKey, value: encode(record), leaseId: held.leaseId },
                { kind: "put", key: placementFencingKey, value: encode(fencing) },
            ],
        }, platformTimeoutMilliseconds);
        if (result.succeeded) {
            this.held = { ...held, record };
        }
        return result.succeeded;
    }

    /**
     * Gives the lease up at a planned stop. `settled` says that every order has been answered, so that the next holder
     * needs no wait.
     */
    async release(settled: boolean): Promise<void> {
        const { held } = this;
        this.held = undefined;
        if (held === undefined) {
            return;
        }
        if (settled) {
            await this.updateFencing(held, { settled: true });
        }
        await this.platform.revokeLease(held.leaseId, platformTimeoutMilliseconds);
    }

    /** Changes the record of the number if it still is the holder's own. */
    private async updateFencing(held: HeldLease, change: Partial<FencingRecord>): Promise<boolean> {
        const counter = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const fencing = counter === undefined ? undefined : decode<FencingRecord>(counter);
        if (counter === undefined || fencing?.fencingNumber !== held.record.fencingNumber) {
            return false;
        }
        const result = await this.platform.transact({
            conditions: [{ key: placementFencingKey, revision: counter.revision }],
            writes: [{ kind: "put", key: placementFencingKey, value: encode({ ...fencing, ...change }) }],
        }, platformTimeoutMilliseconds);
        return result.succeeded;
    }

    private lose(reason: string): void {
        if (this.held !== undefined) {
            this.held = undefined;
            this.metrics.increment("pomelostall.placement.lease.lost");
            this.logger.warn("lost the placement lease", { reason });
        }
    }
}

function encode(record: HolderRecord | FencingRecord): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(record));
}

function decode<Record>(entry: KeyValueEntry): Record {
    return JSON.parse(new TextDecoder().decode(entry.value)) as Record;
}
