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
 * budget is not redistributed to the other routers for this long after they have learnt of that; the router itself stops
 * using the share at the end of this time, which it counts from the last renewal.
 */
const shareRetentionMilliseconds = 60_000;
const renewalIntervalMilliseconds = 4_000;
const retryDelayMilliseconds = 1_000;

export class RouterDirectory implements ManagedComponent {
    readonly name = "router directory";
    private readonly stopping = new AbortController();
    private readonly routers = new Map<string, SocketAddress>();
    /** Monotonic times at which routers were removed, by name. */
    private readonly removedAt = new Map<string, number>();
    private renewedAt = -Infinity;
    private formerProcess: boolean | undefined;
    private resolveLoaded!: () => void;
    /** Resolves once the routers have been read in full. */
    private readonly loaded = new Promise<void>(resolve => {
        this.resolveLoaded = resolve;
    });
    private lease: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly keyPrefix: string,
        /** Key that lasts from the first registration of any router. */
        private readonly fleetStartedKey: string,
        private readonly ownName: string,
        /** Address at which other routers reach this router. */
        private readonly ownAddress: SocketAddress,
        private readonly logger: Logger,
    ) {}

    /** Number of registered routers, including this one. */
    get count(): number {
        return Math.max(1, this.routers.size);
    }

    /**
     * Number of routers that may use a share of the retry budget: the registered ones, and those whose registration has ended
     * recently. Undefined until the routers have been read in full, and if the others may no longer count this router, which
     * then has no share of its own.
     */
    get budgetSharers(): number | undefined {
        const limit = monotonicNow() - shareRetentionMilliseconds;
        if (this.formerProcess === undefined || this.renewedAt < limit) {
            return undefined;
        }
        this.removedAt.forEach((removedAt, name) => {
            if (removedAt < limit) {
                this.removedAt.delete(name);
            }
        });
        return Math.max(1, this.routers.size + this.removedAt.size);
    }

    /** Addresses of the other registered routers. */
    get others(): SocketAddress[] {
        return [...this.routers].filter(([name]) => name !== this.ownName).map(([, address]) => address);
    }

    /**
     * Whether a process of this router may have run just before this one: any router had registered before this process
     * read the store. Registrations themselves do not tell, since the store may lose their leases in an outage. True until
     * the store has been read.
     */
    get mayHaveFormerProcess(): boolean {
        return this.formerProcess !== false;
    }

    async start(): Promise<void> {
        this.running = this.maintainRegistration();
    }

    /** Revokes the lease, so that the other routers stop counting this router before it would have expired. */
    async stop(): Promise<void> {
        this.stopping.abort();
        this.resolveLoaded();
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
        this.removedAt.delete(name);
    }

    remove(name: string): void {
        if (this.routers.delete(name)) {
            this.removedAt.set(name, monotonicNow());
        }
    }

    /** `fleetHasStarted` tells whether the store holds the key that says so. */
    replaceAll(routers: ReadonlyMap<string, SocketAddress>, fleetHasStarted: boolean): void {
        this.formerProcess ??= fleetHasStarted;
        this.resolveLoaded();
        [...this.routers.keys()].filter(name => !routers.has(name)).forEach(name => this.remove(name));
        routers.forEach((address, name) => this.put(name, address));
    }

    private async maintainRegistration(): Promise<void> {
        await this.loaded;
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
        const sentAt = monotonicNow();
        if (this.lease !== undefined) {
            await this.store.renewLease(this.lease);
            this.renewedAt = sentAt;
            return;
        }
        const lease = await this.store.grantLease(leaseMilliseconds);
        await this.store.commit({
            conditions: [],
            writes: [{
                key: this.keyPrefix + this.ownName,
                value: Buffer.from(formatSocketAddress(this.ownAddress)),
                leaseId: lease,
            }, { key: this.fleetStartedKey, value: Buffer.from("1") }],
        });
        this.lease = lease;
        this.renewedAt = sentAt;
    }
}
