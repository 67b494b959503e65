/**
 * Which router orders model engines: the one whose key, under a lease, lies in the platform's store. While the store is
 * away nobody else can take the lease, so its holder goes on for a bounded time; each order names the engine's state that
 * it was made for, so that a second leader's order cannot take effect on top of it. A router that was suspended finds out
 * by the wall clock, which goes on while the monotonic clock stands still, and stops until the store has confirmed it.
 */
import { delay, monotonicNow } from "../../../common/clock.js";
import type { Managed } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { RandomSource } from "../../../common/random.js";
import type { LeadershipHandover, LeadershipOffer } from "../../../domain/gateway/leadership-offer.js";
import type { MetadataStore } from "../../../domain/gateway/metadata-store.js";
import { LeaseLostError, PlatformUnavailableError } from "../../../errors/index.js";
import type { LeaderKeyObserver } from "../store-contents.js";

/** Bounds the time without a leader after a crash. */
const leaseMilliseconds = 3_000;
/** Two renewals may fail before the lease ends. */
const renewalsPerLease = 3;
/** After so many renewals without an answer the store is taken as away. */
const missedRenewals = 1.5;
/** Goes beyond the longest outage of the store that the users describe as common, 9 s. */
const caretakerMilliseconds = 12_000;
/** A difference between the clocks that tells of a suspension, or of a step of the wall clock. */
const clockToleranceMilliseconds = 1_500;
/** Spreads the attempts of all routers, so that most see the winner's key before they try. */
const maximumAttemptDelayMilliseconds = 500;

interface HeldLease {
    readonly id: number;
    /** Name in the key that is bound to the lease. */
    readonly holder: string;
    /** Monotonic time at which the last successful renewal was sent. */
    renewedAt: number;
    renewedAtWallClock: number;
    confirmed: boolean;
}

export class PlacementLeadership implements Managed, LeaderKeyObserver {
    readonly name = "placement leadership";
    private readonly stopping = new AbortController();
    private readonly timeToLive: number;
    private lease: HeldLease | undefined;
    private attempt: Promise<void> | undefined;
    private vacant = false;
    /** Names under which the key may say that this router leads: its own, and those of routers that handed over to it. */
    private readonly holders: Set<string>;

    constructor(
        private readonly store: MetadataStore,
        private readonly key: string,
        /** Names this start of this router. */
        private readonly holder: string,
        minimumLeaseMilliseconds: number,
        private readonly handover: LeadershipHandover,
        private readonly random: RandomSource,
        private readonly logger: Logger,
    ) {
        this.holders = new Set([holder]);
        this.timeToLive = Math.max(leaseMilliseconds, minimumLeaseMilliseconds);
    }

    /** Whether this router may order engines now. */
    get leads(): boolean {
        return this.lease !== undefined && this.lease.confirmed && !this.hasLapsed(this.lease);
    }

    async start(): Promise<void> {}

    /** Gives the lease up, or hands it over while the store is away, so that another router leads at once. */
    async stop(): Promise<void> {
        this.stopping.abort();
        const held = this.lease;
        const led = this.leads;
        this.lease = undefined;
        if (held === undefined) {
            return;
        }
        const renewedMillisecondsAgo = monotonicNow() - held.renewedAt;
        const storeAnswers = renewedMillisecondsAgo < (this.timeToLive / renewalsPerLease) * missedRenewals;
        const handedOver = led && !storeAnswers
            && await this.handover.offer({ leaseId: held.id, holder: held.holder, renewedMillisecondsAgo });
        if (!handedOver) {
            await this.store.endLease(held.id).catch((error: unknown) =>
                this.logger.warn("could not end the placement lease; it lapses", { error: String(error) })
            );
        }
    }

    /** Takes over from a leader that stops while the store is away. Whether this router now leads. */
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
        this.holders.add(holder);
        this.lease = lease;
        this.confirm(lease);
        return true;
    }

    leaderKeyChanged(value: Buffer | undefined): void {
        this.vacant = value === undefined;
        const ours = value !== undefined && this.holders.has(value.toString("utf8"));
        if (ours && this.lease !== undefined && !this.lease.confirmed) {
            this.confirm(this.lease);
        }
        else if (!ours && this.lease?.confirmed === true) {
            this.stepDown("another router holds the key or the key is gone");
        }
        if (this.vacant) {
            this.attempt ??= this.tryToLead().finally(() => {
                this.attempt = undefined;
            });
        }
    }

    private async tryToLead(): Promise<void> {
        while (this.vacant && !this.stopping.signal.aborted) {
            await delay(this.random.next() * maximumAttemptDelayMilliseconds, this.stopping.signal);
            if (!this.vacant || this.stopping.signal.aborted) {
                return;
            }
            try {
                await this.claim();
                return;
            }
            catch (error) {
                this.logger.warn("could not claim the placement key", { error: String(error) });
                await this.waitForDoubtfulClaim(error);
            }
        }
    }

    /** A claim without answer may have succeeded: the store shows the key soon, or its lease ends by itself. */
    private async waitForDoubtfulClaim(error: unknown): Promise<void> {
        if (error instanceof PlatformUnavailableError && error.mayHaveTakenEffect) {
            await delay(this.timeToLive, this.stopping.signal);
        }
    }

    private async claim(): Promise<void> {
        const sentAt = monotonicNow();
        const sentAtWallClock = Date.now();
        const id = await this.store.grantLease(this.timeToLive);
        const lease: HeldLease = {
            id,
            holder: this.holder,
            renewedAt: sentAt,
            renewedAtWallClock: sentAtWallClock,
            confirmed: false,
        };
        this.lease = lease;
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
        this.vacant = false;
    }

    private confirm(lease: HeldLease): void {
        if (lease.confirmed) {
            return;
        }
        lease.confirmed = true;
        this.logger.info("leads placement", { lease: lease.id });
        void this.renew(lease);
    }

    private async renew(lease: HeldLease): Promise<void> {
        while (this.lease === lease && !this.stopping.signal.aborted) {
            await delay(this.timeToLive / renewalsPerLease, this.stopping.signal);
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
            await this.store.keepLease(lease.id);
            lease.renewedAt = sentAt;
            lease.renewedAtWallClock = sentAtWallClock;
        }
        catch (error) {
            if (error instanceof LeaseLostError) {
                this.stepDown("the lease has ended");
            }
            else {
                this.logger.warn("could not renew the placement lease", { error: String(error) });
            }
        }
    }

    private stepDown(reason: string): void {
        this.lease = undefined;
        this.logger.warn("no longer leads placement", { reason });
    }

    private hasLapsed(lease: HeldLease): boolean {
        const elapsed = monotonicNow() - lease.renewedAt;
        const elapsedOnWall = Date.now() - lease.renewedAtWallClock;
        return elapsed >= this.timeToLive + caretakerMilliseconds
            || Math.abs(elapsedOnWall - elapsed) >= clockToleranceMilliseconds;
    }
}
