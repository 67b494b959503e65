/**
 * The lease that makes one router the placement holder, and the fencing number that increases with each holder.
 *
 * The holder key is bound to a lease of the platform and is deleted when the lease expires. The fencing number is
 * stored under a key without a lease; one transaction increments it and creates the holder key, so that no two holders
 * have the same number. The holder computes the expiry on its monotonic clock from the time before the call that
 * granted or renewed the lease, so that it never assumes a later expiry than the platform.
 */
import { randomUUID } from "node:crypto";
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { KeyValueEntry, KeyValueService } from "../../domain/platform.js";
import { PlatformUnavailableError } from "../../errors/index.js";
import {
    leaseMarginMilliseconds,
    leaseTimeToLiveMilliseconds,
    longestOrderMilliseconds,
    maximumClockDriftMilliseconds,
    platformTimeoutMilliseconds,
} from "./constants.js";

export const placementHolderKey = "placement/holder";
export const placementFencingKey = "placement/fencing";

/** Identifies the holder of the lease; stored as JSON under the holder key. */
export interface HolderRecord {
    readonly router: string;
    /** Base URL of the router's operator interface. */
    readonly address: string;
    readonly fencingNumber: number;
    /** Unique per take-over, so that a router recognises its own write if the answer to it was lost. */
    readonly takeOverId: string;
}

/** The last fencing number that was assigned; stored as JSON under the fencing key. */
interface FencingRecord {
    readonly fencingNumber: number;
    /** Longest timeout of that holder's orders. */
    readonly longestOrderMilliseconds: number;
    /** Whether the holder waited for all of its orders before it released the lease. */
    readonly settled: boolean;
}

export interface PlacementLeaseOptions {
    readonly router: string;
    readonly address: string;
    readonly timeToLiveMilliseconds?: number;
    readonly marginMilliseconds?: number;
    readonly longestOrderMilliseconds?: number;
    readonly maximumClockDriftMilliseconds?: number;
}

interface HeldLease {
    readonly leaseId: string;
    readonly record: HolderRecord;
    /**
     * Until this monotonic time in milliseconds, an order of the previous holder may still take effect on a backend
     * server that ignores fencing numbers.
     */
    readonly settleUntil: number;
    /** Monotonic milliseconds. */
    expiresAt: number;
}

/** A take-over whose transaction has not been answered, or whose answer was lost. */
interface PendingTakeOver {
    readonly leaseId: string;
    readonly record: HolderRecord;
    readonly expiresAt: number;
    readonly settleMilliseconds: number;
}

export class PlacementLease {
    private held: HeldLease | undefined;
    private pending: PendingTakeOver | undefined;
    private readonly timeToLiveMilliseconds: number;
    private readonly marginMilliseconds: number;
    private currentLongestOrderMilliseconds: number;
    private readonly maximumClockDriftMilliseconds: number;

    constructor(
        private readonly platform: KeyValueService,
        private readonly options: PlacementLeaseOptions,
        private readonly logger: Logger,
        private readonly metrics: Metrics,
    ) {
        this.timeToLiveMilliseconds = options.timeToLiveMilliseconds ?? leaseTimeToLiveMilliseconds;
        this.marginMilliseconds = options.marginMilliseconds ?? leaseMarginMilliseconds;
        this.currentLongestOrderMilliseconds = options.longestOrderMilliseconds ?? longestOrderMilliseconds;
        this.maximumClockDriftMilliseconds = options.maximumClockDriftMilliseconds ?? maximumClockDriftMilliseconds;
    }

    /** The fencing number while the lease is held; undefined otherwise. */
    get fencingNumber(): number | undefined {
        return this.isHeld ? this.held?.record.fencingNumber : undefined;
    }

    /** Whether the lease is held and does not expire within the safety margin. Reads the clock on each call. */
    get isHeld(): boolean {
        return this.held !== undefined && monotonicNow() < this.held.expiresAt - this.marginMilliseconds;
    }

    /**
     * Whether orders may be sent now. Backend servers that ignore fencing numbers get none until no order of the
     * previous holder can still take effect.
     */
    maySendOrders(honoursFencing: boolean): boolean {
        return this.isHeld && (honoursFencing || monotonicNow() >= this.held!.settleUntil);
    }

    /** Milliseconds until orders may be sent to backend servers that ignore fencing numbers; 0 from then on. */
    get settleMilliseconds(): number {
        return this.held === undefined ? 0 : Math.max(0, this.held.settleUntil - monotonicNow());
    }

    /** Upper limit of the timeout of an order. */
    get longestOrderMilliseconds(): number {
        return this.currentLongestOrderMilliseconds;
    }

    /**
     * Raises the upper limit of order timeouts to the given time; a lower value has no effect. The limit is written to
     * the platform first, since the next holder waits that long for the last order.
     */
    async raiseLongestOrder(milliseconds: number): Promise<void> {
        const { held } = this;
        if (milliseconds <= this.currentLongestOrderMilliseconds) {
            return;
        }
        if (held !== undefined && !await this.updateFencing(held, { longestOrderMilliseconds: milliseconds })) {
            return;
        }
        this.currentLongestOrderMilliseconds = milliseconds;
    }

    /**
     * Reads the current holder from the platform; undefined if there is none. Throws `PlatformUnavailableError` if the
     * platform does not answer.
     */
    async readHolder(): Promise<HolderRecord | undefined> {
        const entry = await this.platform.get(placementHolderKey, platformTimeoutMilliseconds);
        return entry === undefined ? undefined : decode<HolderRecord>(entry);
    }

    /** Tries to become the holder; false if another router holds the lease or the platform is unavailable. */
    async tryAcquire(): Promise<boolean> {
        try {
            return await this.acquire();
        }
        catch (error) {
            if (error instanceof PlatformUnavailableError) {
                this.logger.debug(
                    "could not request the placement lease because the platform is unavailable; retrying",
                    {
                        error: error.message,
                    },
                );
                return false;
            }
            throw error;
        }
    }

    private async acquire(): Promise<boolean> {
        const holder = await this.readHolder();
        if (holder !== undefined) {
            return this.resumePendingTakeOver(holder);
        }
        this.pending = undefined;
        const fencingEntry = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const grantRequestedAt = monotonicNow();
        const leaseId = await this.platform.grantLease(this.timeToLiveMilliseconds, platformTimeoutMilliseconds);
        const previous = fencingEntry === undefined ? undefined : decode<FencingRecord>(fencingEntry);
        const record: HolderRecord = {
            router: this.options.router,
            address: this.options.address,
            fencingNumber: (previous?.fencingNumber ?? 0) + 1,
            takeOverId: randomUUID(),
        };
        this.pending = {
            leaseId,
            record,
            expiresAt: grantRequestedAt + this.timeToLiveMilliseconds,
            settleMilliseconds: this.computeSettleMilliseconds(previous),
        };
        return this.takeOver(fencingEntry, this.pending);
    }

    private computeSettleMilliseconds(previous: FencingRecord | undefined): number {
        return previous === undefined || previous.settled
            ? 0
            : this.timeToLiveMilliseconds + previous.longestOrderMilliseconds + this.maximumClockDriftMilliseconds;
    }

    private async takeOver(fencingEntry: KeyValueEntry | undefined, pending: PendingTakeOver): Promise<boolean> {
        const fencing: FencingRecord = {
            fencingNumber: pending.record.fencingNumber,
            longestOrderMilliseconds: this.currentLongestOrderMilliseconds,
            settled: false,
        };
        try {
            const result = await this.platform.transact({
                conditions: [
                    { key: placementHolderKey, revision: 0 },
                    { key: placementFencingKey, revision: fencingEntry?.revision ?? 0 },
                ],
                writes: [
                    { kind: "put", key: placementHolderKey, value: encode(pending.record), leaseId: pending.leaseId },
                    { kind: "put", key: placementFencingKey, value: encode(fencing) },
                ],
            }, platformTimeoutMilliseconds);
            if (result.succeeded) {
                return this.activate(pending);
            }
            this.pending = undefined;
            await this.platform.revokeLease(pending.leaseId, platformTimeoutMilliseconds);
            return false;
        }
        catch (error) {
            if (error instanceof PlatformUnavailableError && error.mayHaveTakenEffect && this.pending !== undefined) {
                const holder = await this.readHolder();
                return holder !== undefined && this.resumePendingTakeOver(holder);
            }
            throw error;
        }
    }

    /** Becomes the holder if the record was written by this router's pending take-over, whose answer was lost. */
    private resumePendingTakeOver(holder: HolderRecord): boolean {
        const { pending } = this;
        return pending !== undefined && pending.record.takeOverId === holder.takeOverId && this.activate(pending);
    }

    private activate(pending: PendingTakeOver): boolean {
        this.pending = undefined;
        if (monotonicNow() >= pending.expiresAt - this.marginMilliseconds) {
            return false;
        }
        this.held = {
            leaseId: pending.leaseId,
            record: pending.record,
            expiresAt: pending.expiresAt,
            settleUntil: monotonicNow() + pending.settleMilliseconds,
        };
        this.metrics.increment("pomelostall.placement.lease.taken");
        this.logger.info("acquired the placement lease", {
            fencingNumber: pending.record.fencingNumber,
            settleMilliseconds: pending.settleMilliseconds,
        });
        return true;
    }

    /** Renews the lease; false if it is lost. If the platform does not answer, the expiry remains unchanged. */
    async renew(): Promise<boolean> {
        const { held } = this;
        if (held === undefined || !this.isHeld) {
            this.markLost("the lease expired before it was renewed");
            return false;
        }
        const renewalRequestedAt = monotonicNow();
        try {
            await this.platform.keepLeaseAlive(held.leaseId, platformTimeoutMilliseconds);
            const holder = await this.readHolder();
            if (holder?.takeOverId !== held.record.takeOverId) {
                this.markLost("the platform no longer names this router as the holder");
                return false;
            }
            held.expiresAt = renewalRequestedAt + this.timeToLiveMilliseconds;
        }
        catch (error) {
            if (!(error instanceof PlatformUnavailableError)) {
                this.markLost(String(error));
                return false;
            }
        }
        return this.isHeld;
    }

    /**
     * Raises the fencing number above one that a backend server has reported, which is needed after the platform lost
     * data. False if the lease was lost or its records changed concurrently.
     */
    async raiseFencingNumberAbove(seen: number): Promise<boolean> {
        this.logger.warn("a backend server has seen a higher fencing number; raising the fencing number above it", {
            seen,
        });
        const { held } = this;
        if (held === undefined) {
            return false;
        }
        const fencingEntry = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const entry = await this.platform.get(placementHolderKey, platformTimeoutMilliseconds);
        const isOwn = entry !== undefined && decode<HolderRecord>(entry).takeOverId === held.record.takeOverId;
        if (fencingEntry === undefined || !isOwn) {
            this.markLost("the holder or fencing record is missing or belongs to another router");
            return false;
        }
        const fencingNumber = Math.max(seen, decode<FencingRecord>(fencingEntry).fencingNumber) + 1;
        const record: HolderRecord = { ...held.record, fencingNumber };
        const fencing: FencingRecord = {
            fencingNumber,
            longestOrderMilliseconds: this.currentLongestOrderMilliseconds,
            settled: false,
        };
        const result = await this.platform.transact({
            conditions: [
                { key: placementHolderKey, revision: entry.revision },
                { key: placementFencingKey, revision: fencingEntry.revision },
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
     * Releases the lease on a planned stop. `settled` states that no order can still take effect, so that the next
     * holder need not wait.
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

    /** Updates the fencing record; false if it no longer belongs to this holder. */
    private async updateFencing(held: HeldLease, change: Partial<FencingRecord>): Promise<boolean> {
        const fencingEntry = await this.platform.get(placementFencingKey, platformTimeoutMilliseconds);
        const fencing = fencingEntry === undefined ? undefined : decode<FencingRecord>(fencingEntry);
        if (fencingEntry === undefined || fencing?.fencingNumber !== held.record.fencingNumber) {
            return false;
        }
        const result = await this.platform.transact({
            conditions: [{ key: placementFencingKey, revision: fencingEntry.revision }],
            writes: [{ kind: "put", key: placementFencingKey, value: encode({ ...fencing, ...change }) }],
        }, platformTimeoutMilliseconds);
        return result.succeeded;
    }

    private markLost(reason: string): void {
        if (this.held !== undefined) {
            this.held = undefined;
            this.metrics.increment("pomelostall.placement.lease.lost");
            this.logger.warn("lost the placement lease; sending no orders until it is acquired again", { reason });
        }
    }
}

function encode(record: HolderRecord | FencingRecord): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(record));
}

function decode<Record>(entry: KeyValueEntry): Record {
    return JSON.parse(new TextDecoder().decode(entry.value)) as Record;
}
