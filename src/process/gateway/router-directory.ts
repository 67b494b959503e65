/**
 * Registers this router in the platform's store under a lease, and tracks the other registered routers. Their number
 * determines this router's share of the fleet's load and retry budget; their addresses are used to reach them directly
 * while the store is unavailable. After the store has come back from a copy, every router registers again under a new lease.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { ItemWrite, MetadataStore } from "../../domain/gateway/metadata-store.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { StoreLease } from "../../domain/gateway/store-position.js";
import { LeaseLostError } from "../../errors/index.js";
import { encodeProcessRecord, type ProcessRecords } from "./process-records.js";
import type { StoreEra } from "./store-era.js";
import { ReadContext } from "./store-observer.js";

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
/** Rate at which the routers of a fleet register again after the store has come back from a copy; each takes two writes. */
const registrationsPerSecond = 100;
/** A router that the copy does not hold stays on the list for this long, which covers the registrations of 360 routers. */
const lapseMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;
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

export interface RouterKeys {
    /** Followed by a router's name, as `processPrefix`. */
    readonly routerPrefix: string;
    readonly processPrefix: string;
    /** Key that lasts from the first registration of any router. */
    readonly fleetStarted: string;
}

export interface RouterDirectoryDependencies {
    readonly store: MetadataStore;
    readonly era: Pick<StoreEra, "current">;
    readonly keys: RouterKeys;
    readonly ownName: string;
    /** Address at which other routers reach this router. */
    readonly ownAddress: SocketAddress;
    /** Window of the retry budget in milliseconds. */
    readonly settlingMilliseconds: number;
    /** Whether the whole fleet may be starting for the first time. */
    readonly mayBeFirstFleetStart: boolean;
    /** Version of the configuration in force; 0 before the first one. */
    configurationVersion(): number;
    readonly random: RandomSource;
    readonly logger: Logger;
}

export class RouterDirectory implements ManagedComponent {
    readonly name = "router directory";
    private readonly stopping = new AbortController();
    private readonly routers = new Map<string, SocketAddress>();
    /** Monotonic times at which routers were removed, by name. */
    private readonly removedAt = new Map<string, number>();
    /** Monotonic times until which routers that a copy of the store does not hold stay on the list, by name. */
    private readonly lapsesAt = new Map<string, number>();
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
    private lease: StoreLease | undefined;
    private running: Promise<void> | undefined;
    /** Aborted when a new era of the store begins. */
    private eraEnded = new AbortController();
    private mustSpread = false;
    private registrationListeners: (() => void)[] = [];

    constructor(private readonly dependencies: RouterDirectoryDependencies) {}

    /** Number of registered routers, including this one. */
    get count(): number {
        this.removeLapsed();
        return Math.max(1, this.routers.size);
    }

    /**
     * Number of routers that may use a share of the retry budget: the registered ones, and those whose registration has ended
     * recently. Undefined until the routers have been read in full, and if the others may no longer count this router, which
     * then has no share of its own.
     */
    get budgetSharers(): number | undefined {
        this.removeLapsed();
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
        this.removeLapsed();
        const { ownName } = this.dependencies;
        return [...this.routers].filter(([name]) => name !== ownName).map(([, address]) => address);
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
        this.finishRegistration();
        await this.running;
        if (this.lease !== undefined) {
            const { store, logger } = this.dependencies;
            await store.revokeLease(this.lease).catch((error: unknown) =>
                logger.warn("could not revoke this router's registration lease; it remains until it expires", {
                    error: String(error),
                })
            );
        }
    }

    /** Corrects what the store has said: the fleet has been running before, so this process may follow another one. */
    handleRunningFleet(): void {
        if (this.former === FormerProcess.none) {
            this.former = FormerProcess.unknown;
        }
    }

    /** Ends the registration's lease, and begins to register again. */
    handleNewEra(): void {
        this.lease = undefined;
        this.mustSpread = true;
        this.eraEnded.abort();
        this.eraEnded = new AbortController();
    }

    /** Resolves once this router is registered, or stops. */
    waitForRegistration(): Promise<void> {
        return this.lease !== undefined || this.stopping.signal.aborted
            ? Promise.resolve()
            : new Promise(resolve => this.registrationListeners.push(resolve));
    }

    put(name: string, address: SocketAddress): void {
        this.routers.set(name, address);
        this.removedAt.delete(name);
        this.lapsesAt.delete(name);
        if (name === this.dependencies.ownName) {
            this.listedAt = Math.min(this.listedAt, monotonicNow());
        }
    }

    remove(name: string): void {
        this.lapsesAt.delete(name);
        if (this.routers.delete(name)) {
            this.removedAt.set(name, monotonicNow());
        }
    }

    replaceAll(routers: ReadonlyMap<string, SocketAddress>, records: ProcessRecords, context: ReadContext): void {
        if (!this.hasBeenRead) {
            this.hasBeenRead = true;
            const { ownName, era, mayBeFirstFleetStart } = this.dependencies;
            this.former = findFormerProcess(records, ownName, era.current);
            if (!mayBeFirstFleetStart) {
                this.handleRunningFleet();
            }
        }
        this.resolveLoaded();
        [...this.routers.keys()].filter(name => !routers.has(name)).forEach(name => {
            if (context === ReadContext.newEra) {
                this.lapsesAt.set(name, this.lapsesAt.get(name) ?? monotonicNow() + lapseMilliseconds);
            }
            else if (!this.lapsesAt.has(name)) {
                this.remove(name);
            }
        });
        routers.forEach((address, name) => this.put(name, address));
    }

    private removeLapsed(): void {
        const now = monotonicNow();
        [...this.lapsesAt].filter(([, lapsesAt]) => lapsesAt <= now).forEach(([name]) => this.remove(name));
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
            await this.spreadOverFleet();
            const eraEnded = this.eraEnded.signal;
            let delayMilliseconds = renewalIntervalMilliseconds;
            try {
                await this.renewOrRegister();
            }
            catch (error) {
                delayMilliseconds = retryDelayMilliseconds;
                if (error instanceof LeaseLostError) {
                    this.lease = undefined;
                }
                this.dependencies.logger.warn("could not renew this router's registration; retrying", {
                    error: String(error),
                });
            }
            await delay(delayMilliseconds, AbortSignal.any([this.stopping.signal, eraEnded]));
        }
    }

    /** All routers learn at the same moment that they have to register again. */
    private async spreadOverFleet(): Promise<void> {
        if (this.mustSpread) {
            this.mustSpread = false;
            const fleetMilliseconds = this.count / registrationsPerSecond * millisecondsPerSecond;
            await delay(this.dependencies.random.next() * fleetMilliseconds, this.stopping.signal);
        }
    }

    private finishRegistration(): void {
        this.registrationListeners.splice(0).forEach(listener => listener());
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
            await this.dependencies.store.renewLease(this.lease);
        }
        this.renewedAt = sentAt;
    }

    private async register(): Promise<void> {
        const { store, ownAddress, ownName, keys } = this.dependencies;
        const lease = await store.grantLease(leaseMilliseconds);
        await this.write(lease, [
            { key: keys.routerPrefix + ownName, value: Buffer.from(formatSocketAddress(ownAddress)), lease },
            this.processRecord(lease),
            { key: keys.fleetStarted, value: Buffer.from("1") },
        ]);
        if (lease.era === this.dependencies.era.current) {
            this.lease = lease;
            this.finishRegistration();
        }
    }

    /** Throws LeaseLostError if the lease has ended. */
    private async write(lease: StoreLease, writes: readonly ItemWrite[]): Promise<void> {
        const isSettled = this.isSettled;
        if (!await this.dependencies.store.commit({ conditions: [], writes })) {
            throw new LeaseLostError(String(lease.id));
        }
        this.isRecordedAsSettled = isSettled;
    }

    private processRecord(lease: StoreLease): ItemWrite {
        const { keys, ownName } = this.dependencies;
        const value = encodeProcessRecord({
            settled: this.isSettled,
            era: lease.era,
            configurationVersion: this.dependencies.configurationVersion(),
        });
        return { key: keys.processPrefix + ownName, value, lease };
    }

    /** Whether what a former process has used of the retry budget no longer matters. */
    private get isSettled(): boolean {
        return this.former === FormerProcess.none
            || monotonicNow() - this.startedAt >= this.dependencies.settlingMilliseconds;
    }
}

/** A record of an earlier era may be that of an earlier process: later ones may have been lost with it. */
function findFormerProcess({ fleetHasStarted, byRouter }: ProcessRecords, name: string, era: number): FormerProcess {
    if (!fleetHasStarted) {
        return FormerProcess.none;
    }
    const record = byRouter.get(name);
    return record?.settled === true && record.era === era ? FormerProcess.settled : FormerProcess.unknown;
}
