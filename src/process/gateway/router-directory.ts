/**
 * Registers this router in the platform's store under a lease, and tracks the other registered routers. Their number
 * determines this router's share of the fleet's load and retry budget; their addresses are used to reach them directly
 * while the store is unavailable.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { ItemWrite, MetadataStore } from "../../domain/gateway/metadata-store.js";
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
/** Routers of a fleet that starts for the first time register within about this time of each other. */
const firstStartMilliseconds = 400;
const settledValue = "settled";
const newValue = "new";
const renewalIntervalMilliseconds = 4_000;
const retryDelayMilliseconds = 1_000;

/** What is known of the process of this router that may have run just before this one. */
export const FormerProcess = {
    /** The fleet starts for the first time. */
    none: "none",
    /** It had run for longer than the window of the retry budget. */
    settled: "settled",
    /** It may have been one that had just started itself, or the store has lost its record. */
    unknown: "unknown",
} as const;
export type FormerProcess = typeof FormerProcess[keyof typeof FormerProcess];

/** What the store holds of the routers' processes. */
export interface ProcessRecords {
    readonly fleetHasStarted: boolean;
    /** Names of the routers whose process had settled when it wrote its record. */
    readonly settled: ReadonlySet<string>;
}

export interface RouterKeys {
    /** Followed by a router's name, as `processPrefix`. */
    readonly routerPrefix: string;
    readonly processPrefix: string;
    /** Key that lasts from the first registration of any router. */
    readonly fleetStarted: string;
}

/** Whether the value of a process record says that the process had settled. */
export function isSettledRecord(value: Buffer): boolean {
    return value.toString("utf8") === settledValue;
}

export class RouterDirectory implements ManagedComponent {
    readonly name = "router directory";
    private readonly stopping = new AbortController();
    private readonly routers = new Map<string, SocketAddress>();
    /** Monotonic times at which routers were removed, by name. */
    private readonly removedAt = new Map<string, number>();
    private renewedAt = -Infinity;
    private former: FormerProcess = FormerProcess.unknown;
    private hasBeenRead = false;
    /** When this process saw its own registration on the list. */
    private listedAt = Infinity;
    private isRecordedAsSettled = false;
    private readonly startedAt = monotonicNow();
    private resolveLoaded!: () => void;
    /** Resolves once the routers have been read in full. */
    private readonly loaded = new Promise<void>(resolve => {
        this.resolveLoaded = resolve;
    });
    private lease: number | undefined;
    private running: Promise<void> | undefined;

    constructor(
        private readonly store: MetadataStore,
        private readonly keys: RouterKeys,
        private readonly ownName: string,
        /** Address at which other routers reach this router. */
        private readonly ownAddress: SocketAddress,
        /** Window of the retry budget in milliseconds. */
        private readonly settlingMilliseconds: number,
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
        if (!this.isListComplete || this.renewedAt < limit) {
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

    /** What the store said of a former process of this router when this process read it first. */
    get formerProcess(): FormerProcess {
        return this.former;
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
        if (name === this.ownName) {
            this.listedAt = Math.min(this.listedAt, monotonicNow());
        }
    }

    remove(name: string): void {
        if (this.routers.delete(name)) {
            this.removedAt.set(name, monotonicNow());
        }
    }

    replaceAll(routers: ReadonlyMap<string, SocketAddress>, records: ProcessRecords): void {
        if (!this.hasBeenRead) {
            this.hasBeenRead = true;
            this.former = findFormerProcess(records, this.ownName);
        }
        this.resolveLoaded();
        [...this.routers.keys()].filter(name => !routers.has(name)).forEach(name => this.remove(name));
        routers.forEach((address, name) => this.put(name, address));
    }

    /** Whether the routers that start together with this one are on the list. Later ones wait before they use their share. */
    private get isListComplete(): boolean {
        return this.former === FormerProcess.none
            ? monotonicNow() - this.listedAt >= firstStartMilliseconds
            : this.hasBeenRead;
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
        if (this.lease === undefined) {
            await this.register();
        }
        else if (this.isSettled && !this.isRecordedAsSettled) {
            await this.write(this.lease, [this.processRecord(this.lease)]);
        }
        else {
            await this.store.renewLease(this.lease);
        }
        this.renewedAt = sentAt;
    }

    private async register(): Promise<void> {
        const lease = await this.store.grantLease(leaseMilliseconds);
        const address = Buffer.from(formatSocketAddress(this.ownAddress));
        await this.write(lease, [
            { key: this.keys.routerPrefix + this.ownName, value: address, leaseId: lease },
            this.processRecord(lease),
            { key: this.keys.fleetStarted, value: Buffer.from("1") },
        ]);
        this.lease = lease;
    }

    /** Throws LeaseLostError if the lease has ended. */
    private async write(leaseId: number, writes: readonly ItemWrite[]): Promise<void> {
        const isSettled = this.isSettled;
        if (!await this.store.commit({ conditions: [], writes })) {
            throw new LeaseLostError(String(leaseId));
        }
        this.isRecordedAsSettled = isSettled;
    }

    private processRecord(leaseId: number): ItemWrite {
        const value = Buffer.from(this.isSettled ? settledValue : newValue);
        return { key: this.keys.processPrefix + this.ownName, value, leaseId };
    }

    /** Whether what a former process has used of the retry budget no longer matters. */
    private get isSettled(): boolean {
        return this.former === FormerProcess.none || monotonicNow() - this.startedAt >= this.settlingMilliseconds;
    }
}

function findFormerProcess({ fleetHasStarted, settled }: ProcessRecords, name: string): FormerProcess {
    if (!fleetHasStarted) {
        return FormerProcess.none;
    }
    return settled.has(name) ? FormerProcess.settled : FormerProcess.unknown;
}
