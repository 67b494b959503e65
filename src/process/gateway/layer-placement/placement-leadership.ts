/**
 * Elects the placement leader, the router that sends orders to model engines: the router that holds the lease to which
 * the leader key in the platform's store is bound. While the store is unavailable, no other router can acquire the key,
 * so the leader continues for a bounded time after its lease would have expired. Each order carries the number of
 * orders that the engine had begun before, so that orders of two leaders cannot both take effect. The monotonic clock
 * stops during a suspension and the wall clock does not, so a difference between them reveals a suspension; the router
 * then stops leading until the store has renewed the lease.
 *
 * A lease ends with the era of the store that granted it. A leader whose key is in the store of the new era replaces it on
 * the condition of its position, and leads again once that has succeeded.
 */
import { delay, monotonicNow } from "../../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../../common/failure-boundary.js";
import type { ManagedComponent } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { RandomSource } from "../../../common/random.js";
import type { LeadershipHandover, LeadershipOffer } from "../../../domain/gateway/leadership-offer.js";
import type { MetadataStore } from "../../../domain/gateway/metadata-store.js";
import { comparePositions, type StoreLease, type StorePosition } from "../../../domain/gateway/store-position.js";
import { LeaseLostError, PlatformUnavailableError } from "../../../errors/index.js";
import type { LeaderKey, LeaderKeyObserver } from "../store-dispatcher.js";
import type { StoreEra } from "../store-era.js";

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
const absent = "absent";
/** Claims are delayed randomly, so that most routers see the winner's key before they would send their own claim. */
const maximumClaimDelayMilliseconds = 500;

interface HeldLease {
    readonly lease: StoreLease;
    /** Value of the key that is bound to the lease. */
    readonly holder: string;
    /** Monotonic time at which the last successful renewal was sent. */
    renewedAt: number;
    /** Wall-clock time of the same moment, as Unix time in milliseconds. */
    renewedAtWallClock: number;
    /** The store is known to hold the key under this lease. */
    confirmed: boolean;
    /** Position of the key that the claim of this lease replaces; undefined if there was none. */
    readonly replaces?: StorePosition | undefined;
}

export class PlacementLeadership implements ManagedComponent, LeaderKeyObserver {
    readonly name = "placement leadership";
    private readonly stopping = new AbortController();
    private readonly leaseDurationMilliseconds: number;
    private lease: HeldLease | undefined;
    private campaign: Promise<void> | undefined;
    private readonly boundary: FailureBoundary;
    /** The key that a claim has to replace, and `absent` if there is none; undefined while another router's key is there. */
    private claimable: LeaderKey | typeof absent | undefined;
    /** Values of the key under which this router leads: its own holder name and those of adopted leases. */
    private readonly ownHolderNames: Set<string>;

    constructor(
        private readonly store: MetadataStore,
        private readonly key: string,
        /** Value that this router writes under the key; unique to this process. */
        private readonly holder: string,
        minimumLeaseMilliseconds: number,
        private readonly era: Pick<StoreEra, "current">,
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
            && await this.handover.offer({ lease: held.lease, holder: held.holder, renewedMillisecondsAgo });
        if (!handedOver) {
            await this.store.revokeLease(held.lease).catch((error: unknown) =>
                this.logger.warn("could not revoke the placement lease; it remains until it expires", {
                    error: String(error),
                })
            );
        }
    }

    /** Takes the lease over from a leader that stops while the store is unavailable; false if the offer is rejected. */
    adopt({ lease: offered, holder, renewedMillisecondsAgo }: LeadershipOffer): boolean {
        const isOutdated = offered.era !== this.era.current;
        if (this.stopping.signal.aborted || this.lease !== undefined || isOutdated) {
            return false;
        }
        const lease: HeldLease = {
            lease: offered,
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

    /** Ends a lease of an earlier era, without revoking it: its ID may be another router's. */
    handleNewEra(): void {
        this.claimable = undefined;
        if (this.lease !== undefined) {
            this.stepDown("the store came back from a copy");
        }
    }

    leaderKeyChanged(key: LeaderKey | undefined): void {
        const isOwnKey = key !== undefined && this.ownHolderNames.has(key.holder);
        if (isOwnKey && this.lease?.confirmed === false && isLater(key.position, this.lease.replaces)) {
            this.confirm(this.lease);
        }
        else if (!isOwnKey && this.lease?.confirmed === true) {
            this.stepDown("the key was removed or is held by another router");
        }
        this.claimable = findClaimable(key, isOwnKey && this.lease === undefined);
        if (this.claimable !== undefined && this.campaign === undefined) {
            this.boundary.run(() => {
                this.campaign = this.claimWhilePossible().finally(() => {
                    this.campaign = undefined;
                });
                return this.campaign;
            });
        }
    }

    private async claimWhilePossible(): Promise<void> {
        while (this.claimable !== undefined && !this.stopping.signal.aborted) {
            const isContested = this.claimable === absent;
            await delay(isContested ? this.random.next() * maximumClaimDelayMilliseconds : 0, this.stopping.signal);
            if (this.claimable === undefined || this.stopping.signal.aborted) {
                return;
            }
            try {
                await this.claim(this.claimable);
            }
            catch (error) {
                this.logger.warn("could not claim the placement key; retrying while it is absent or this router's", {
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

    private async claim(replaced: LeaderKey | typeof absent): Promise<void> {
        const sentAt = monotonicNow();
        const sentAtWallClock = Date.now();
        const granted = await this.store.grantLease(this.leaseDurationMilliseconds);
        const lease: HeldLease = {
            lease: granted,
            holder: this.holder,
            renewedAt: sentAt,
            renewedAtWallClock: sentAtWallClock,
            confirmed: false,
            replaces: replaced === absent ? undefined : replaced.position,
        };
        this.lease = lease;
        if (this.stopping.signal.aborted) {
            return;
        }
        const committed = await this.store.commit({
            conditions: [{ key: this.key, position: lease.replaces }],
            writes: [{ key: this.key, value: Buffer.from(this.holder), lease: granted }],
        });
        if (this.lease !== lease) {
            // The era has changed meanwhile.
            return;
        }
        if (committed) {
            this.confirm(lease);
        }
        else {
            this.lease = undefined;
        }
        this.claimable = undefined;
    }

    private confirm(lease: HeldLease): void {
        if (lease.confirmed) {
            return;
        }
        lease.confirmed = true;
        this.logger.info("became placement leader", { lease: lease.lease.id });
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
            await this.store.renewLease(lease.lease);
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

function isLater(position: StorePosition, than: StorePosition | undefined): boolean {
    return than === undefined || comparePositions(position, than) > 0;
}

/** A key of this router without a lease was written under one of an earlier era, or by a claim whose outcome is unknown. */
function findClaimable(key: LeaderKey | undefined, isOwnWithoutLease: boolean): LeaderKey | typeof absent | undefined {
    return key === undefined ? absent : (isOwnWithoutLease ? key : undefined);
}
