/**
 * The routers of the fleet, each registered in the platform's store under a lease. Their number tells how much of the
 * fleet's load and allowances is this router's part, and their addresses whom to ask while the store does not answer.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { Managed } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { MetadataStore } from "../../domain/gateway/metadata-store.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { LeaseLostError } from "../../errors/index.js";

/** A router that was lost is registered for this long at most. */
const leaseMilliseconds = 12_000;
/** A router that is cut off from the store goes on sending; its share is not given to others for this long. */
const countMemoryMilliseconds = 60_000;
const renewalMilliseconds = 4_000;
const retryMilliseconds = 1_000;

export class RouterDirectory implements Managed {
    readonly name = "router directory";
    private readonly stopping = new AbortController();
    private readonly routers = new Map<string, SocketAddress>();
    private maximum = { count: 1, seenAt: monotonicNow() };
    private lease: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly keyPrefix: string,
        private readonly ownName: string,
        /** Where other routers reach this one. */
        private readonly ownAddress: SocketAddress,
        private readonly logger: Logger,
    ) {}

    /** Routers that are registered, this one included. */
    get count(): number {
        return Math.max(1, this.routers.size);
    }

    /** The most routers that were registered lately: those that may send, whether or not the store sees them. */
    get recentMaximum(): number {
        if (this.count >= this.maximum.count || monotonicNow() - this.maximum.seenAt > countMemoryMilliseconds) {
            this.maximum = { count: this.count, seenAt: monotonicNow() };
        }
        return this.maximum.count;
    }

    /** Addresses of the other routers. */
    get others(): SocketAddress[] {
        return [...this.routers].filter(([name]) => name !== this.ownName).map(([, address]) => address);
    }

    async start(): Promise<void> {
        this.running = this.keepRegistered();
    }

    /** Ends the registration, so that the others count one router less at once. */
    async stop(): Promise<void> {
        this.stopping.abort();
        await this.running;
        if (this.lease !== undefined) {
            await this.store.endLease(this.lease).catch((error: unknown) =>
                this.logger.warn("could not end the registration; it lapses", { error: String(error) })
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

    private async keepRegistered(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            let pause = renewalMilliseconds;
            try {
                await this.renewOrRegister();
            }
            catch (error) {
                pause = retryMilliseconds;
                if (error instanceof LeaseLostError) {
                    this.lease = undefined;
                }
                this.logger.warn("could not renew this router's registration", { error: String(error) });
            }
            await delay(pause, this.stopping.signal);
        }
    }

    private async renewOrRegister(): Promise<void> {
        if (this.lease !== undefined) {
            await this.store.keepLease(this.lease);
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
