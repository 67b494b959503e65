/**
 * Elects the placement leader, the router that sends orders to model engines: the router that holds the lease to which
 * the leader key in the platform's store is bound. While the store is unavailable, no other router can acquire the key,
 * so the leader continues for a bounded time after its lease would have expired. Each order carries the number of
 * orders that the engine had begun before, so that orders of two leaders cannot both take effect. The monotonic clock
 * stops during a suspension and the wall clock does not, so a difference between them reveals a suspension; the router
 * then stops leading until the store has renewed the lease.
 */
import { delay, monotonicNow } from "../../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../../common/failure-boundary.js";
import type { ManagedComponent } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { RandomSource } from "../../../common/random.js";
import type { LeadershipHandover, LeadershipOffer } from "../../../domain/gateway/leadership-offer.js";
import type { MetadataStore } from "../../../domain/gateway/metadata-store.js";
import { LeaseLostError, PlatformUnavailableError } from "../../../errors/index.js";
import type { LeaderKeyObserver } from "../store-dispatcher.js";

/** Lease duration, unless the store's minimum is longer; bounds the time without a leader after a crash. */
const preferredLeaseDurationMilliseconds = 3_000;
/** Two consecutive renewals may fail before the lease expires. */
const renewalsPerLease = 3;
/** The store counts as unavailable after this many renewal intervals without a successful renewal. */
const missedRenewalsUntilUnavailable = 1.5;
/** Leadership continues this long beyond the lease; common outages of the store last up to 9 s. */
const outageExtensionMilliseconds = 12_000;
/** Difference between the clocks that indicates a suspension or a step of the wall clock. */
const clockToleranceMilliseconds = 1_500;
/** Claims are delayed randomly, so that most routers see the winner's key before they would send their own claim. */
const maximumClaimDelayMilliseconds = 500;

interface HeldLease {
    readonly id: number;
    /** Value of the key that is bound to the lease. */
    readonly holder: string;
    /** Monotonic time at which the last successful renewal was sent. */
    renewedAt: number;
    /** Wall-clock time of the same moment, as Unix time in milliseconds. */
    renewedAtWallClock: number;
    /** The store is known to hold the key under this lease. */
    confirmed: boolean;
}

export class PlacementLeadership implements ManagedComponent, LeaderKeyObserver {
    readonly name = "placement leadership";
    private readonly stopping = new AbortController();
    private readonly leaseDurationMilliseconds: number;
    private lease: HeldLease | undefined;
    private campaign: Promise<void> | undefined;
    private readonly boundary: FailureBoundary;
    private keyAbsent = false;
    /** Values of the key under which this router leads: its own holder name and those of adopted leases. */
    private readonly ownHolderNames: Set<string>;

    constructor(
        private readonly store: MetadataStore,
        private readonly key: string,
        /** Value that this router writes under the key; unique to this process. */
        private readonly holder: string,
        minimumLeaseMilliseconds: number,
        private readonly handover: LeadershipHandover,
        private readonly random: RandomSource,
        failures: FailureReporter,
        private readonly logger: Logger,
    ) {
        this.boundary = failures.createBoundary(this.name);
        this.ownHolderNames = new Set([holder]);
        this.leaseDurationMilliseconds = Math.max(preferredLeaseDurationMilliseconds, minimumLeaseMilliseconds);
    }

    /** Whether this router may send orders to engines now. */
    get isLeader(): boolean {
        return this.lease !== undefined && this.lease.confirmed && !this.hasExpired(this.lease);
    }

    async start(): Promise<void> {}

    /** Revokes the lease, or hands it over while the store is unavailable, so that another router can lead at once. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.campaign;
        const held = this.lease;
        const wasLeader = this.isLeader;
        this.lease = undefined;
        if (held === undefined) {
            return;
        }
        const renewedMillisecondsAgo = monotonicNow() - held.renewedAt;
        const storeAnswers = renewedMillisecondsAgo
            < (this.leaseDurationMilliseconds / renewalsPerLease) * missedRenewalsUntilUnavailable;
        const handedOver = wasLeader && !storeAnswers
            && await this.handover.offer({ leaseId: held.id, holder: held.holder, renewedMillisecondsAgo });
        if (!handedOver) {
            await this.store.revokeLease(held.id).catch((error: unknown) =>
                this.logger.warn("could not revoke the placement lease; it remains until it expires", {
                    error: String(error),
                })
            );
        }
    }

    /** Takes the lease over from a leader that stops while the store is unavailable; false if the offer is rejected. */
    adopt({ leaseId, holder, renewedMillisecondsAgo }: LeadershipOffer): boolean {
        if (this.stopping.signal.aborted || this.lease !== undefined) {
            return false;
        }
        const lease: HeldLease = {
            id: leaseId,
            holder,
            renewedAt: monotonicNow() - renewedMillisecondsAgo,
            renewedAtWallClock: Date.now() - renewedMillisecondsAgo,
            confirmed: false,
        };
        this.ownHolderNames.add(holder);
        this.lease = lease;
        this.confirm(lease);
        return true;
    }

    leaderKeyChanged(value: Buffer | undefined): void {
        this.keyAbsent = value === undefined;
        const isOwnKey = value !== undefined && this.ownHolderNames.has(value.toString("utf8"));
        if (isOwnKey && this.lease !== undefined && !this.lease.confirmed) {
            this.confirm(this.lease);
        }
        else if (!isOwnKey && this.lease?.confirmed === true) {
            this.stepDown("the key was removed or is held by another router");
        }
        if (this.keyAbsent && this.campaign === undefined) {
            this.boundary.run(() => {
                this.campaign = this.claimWhileAbsent().finally(() => {
                    this.campaign = undefined;
                });
                return this.campaign;
            });
        }
    }

    private async claimWhileAbsent(): Promise<void> {
        while (this.keyAbsent && !this.stopping.signal.aborted) {
            await delay(this.random.next() * maximumClaimDelayMilliseconds, this.stopping.signal);
            if (!this.keyAbsent || this.stopping.signal.aborted) {
                return;
            }
            try {
                await this.claim();
                return;
            }
            catch (error) {
                this.logger.warn("could not claim the placement key; retrying while it is absent", {
                    error: String(error),
                });
                await this.waitForUncertainClaim(error);
            }
        }
    }

    /** A claim without an answer may have succeeded: either the watch shows the key soon, or the lease expires. */
    private async waitForUncertainClaim(error: unknown): Promise<void> {
        if (error instanceof PlatformUnavailableError && error.mayHaveTakenEffect) {
            await delay(this.leaseDurationMilliseconds, this.stopping.signal);
        }
    }

    private async claim(): Promise<void> {
        const sentAt = monotonicNow();
        const sentAtWallClock = Date.now();
        const id = await this.store.grantLease(this.leaseDurationMilliseconds);
        const lease: HeldLease = {
            id,
            holder: this.holder,
            renewedAt: sentAt,
            renewedAtWallClock: sentAtWallClock,
            confirmed: false,
        };
        this.lease = lease;
        if (this.stopping.signal.aborted) {
            return;
        }
        const committed = await this.store.commit({
            conditions: [{ key: this.key, revision: 0 }],
            writes: [{ key: this.key, value: Buffer.from(this.holder), leaseId: id }],
        });
        if (committed) {
            this.confirm(lease);
        }
        else {
            this.lease = undefined;
        }
        this.keyAbsent = false;
    }

    private confirm(lease: HeldLease): void {
        if (lease.confirmed) {
            return;
        }
        lease.confirmed = true;
        this.logger.info("became placement leader", { lease: lease.id });
        this.boundary.run(() => this.renew(lease));
    }

    private async renew(lease: HeldLease): Promise<void> {
        while (this.lease === lease && !this.stopping.signal.aborted) {
            await delay(this.leaseDurationMilliseconds / renewalsPerLease, this.stopping.signal);
            if (this.lease !== lease || this.stopping.signal.aborted) {
                return;
            }
            await this.renewOnce(lease);
        }
    }

    private async renewOnce(lease: HeldLease): Promise<void> {
        const sentAt = monotonicNow();
        const sentAtWallClock = Date.now();
        try {
            await this.store.renewLease(lease.id);
            lease.renewedAt = sentAt;
            lease.renewedAtWallClock = sentAtWallClock;
        }
        catch (error) {
            if (error instanceof LeaseLostError) {
                this.stepDown("the lease has expired or was revoked");
            }
            else {
                this.logger.warn("could not renew the placement lease; retrying at the next interval", {
                    error: String(error),
                });
            }
        }
    }

    private stepDown(reason: string): void {
        this.lease = undefined;
        this.logger.warn("stepped down as placement leader", { reason });
    }

    private hasExpired(lease: HeldLease): boolean {
        const elapsed = monotonicNow() - lease.renewedAt;
        const elapsedWallClock = Date.now() - lease.renewedAtWallClock;
        return elapsed >= this.leaseDurationMilliseconds + outageExtensionMilliseconds
            || Math.abs(elapsedWallClock - elapsed) >= clockToleranceMilliseconds;
    }
}
