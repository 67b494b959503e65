/**
 * Registers this router in the platform's store under a lease, and tracks the other registered routers. Their number
 * determines this router's share of the fleet's load and retry budget; their addresses are used to reach them directly
 * while the store is unavailable.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { MetadataStore } from "../../domain/gateway/metadata-store.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { LeaseLostError } from "../../errors/index.js";

/** Lease duration: the longest time for which a crashed router stays registered. */
const leaseMilliseconds = 12_000;
/**
 * A router that cannot reach the store continues to send requests after its lease has expired. Its share of the retry
 * budget is not redistributed to the other routers for this long.
 */
const peakRetentionMilliseconds = 60_000;
const renewalIntervalMilliseconds = 4_000;
const retryDelayMilliseconds = 1_000;

export class RouterDirectory implements ManagedComponent {
    readonly name = "router directory";
    private readonly stopping = new AbortController();
    private readonly routers = new Map<string, SocketAddress>();
    private peak = { count: 1, observedAt: monotonicNow() };
    private lease: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly keyPrefix: string,
        private readonly ownName: string,
        /** Address at which other routers reach this router. */
        private readonly ownAddress: SocketAddress,
        private readonly logger: Logger,
    ) {}

    /** Number of registered routers, including this one. */
    get count(): number {
        return Math.max(1, this.routers.size);
    }

    /** Highest recent number of registered routers; includes routers that may still send after their lease expired. */
    get recentPeakCount(): number {
        if (this.count >= this.peak.count || monotonicNow() - this.peak.observedAt > peakRetentionMilliseconds) {
            this.peak = { count: this.count, observedAt: monotonicNow() };
        }
        return this.peak.count;
    }

    /** Addresses of the other registered routers. */
    get others(): SocketAddress[] {
        return [...this.routers].filter(([name]) => name !== this.ownName).map(([, address]) => address);
    }

    async start(): Promise<void> {
        this.running = this.maintainRegistration();
    }

    /** Revokes the lease, so that the other routers stop counting this router before it would have expired. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
        if (this.lease !== undefined) {
            await this.store.revokeLease(this.lease).catch((error: unknown) =>
                this.logger.warn("could not revoke this router's registration lease; it remains until it expires", {
                    error: String(error),
                })
            );
        }
    }

    put(name: string, address: SocketAddress): void {
        this.routers.set(name, address);
    }

    remove(name: string): void {
        this.routers.delete(name);
    }

    replaceAll(routers: ReadonlyMap<string, SocketAddress>): void {
        this.routers.clear();
        routers.forEach((address, name) => this.routers.set(name, address));
    }

    private async maintainRegistration(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            let delayMilliseconds = renewalIntervalMilliseconds;
            try {
                await this.renewOrRegister();
            }
            catch (error) {
                delayMilliseconds = retryDelayMilliseconds;
                if (error instanceof LeaseLostError) {
                    this.lease = undefined;
                }
                this.logger.warn("could not renew this router's registration; retrying", { error: String(error) });
            }
            await delay(delayMilliseconds, this.stopping.signal);
        }
    }

    private async renewOrRegister(): Promise<void> {
        if (this.lease !== undefined) {
            await this.store.renewLease(this.lease);
            return;
        }
        const lease = await this.store.grantLease(leaseMilliseconds);
        await this.store.commit({
            conditions: [],
            writes: [{
                key: this.keyPrefix + this.ownName,
                value: Buffer.from(formatSocketAddress(this.ownAddress)),
                leaseId: lease,
            }],
        });
        this.lease = lease;
    }
}
