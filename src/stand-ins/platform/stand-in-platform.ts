/**
 * In-process stand-in for the platform: the key-value service and the VM list, on the runtime's timers, with injectable
 * faults. Further clients of the same data can be created with their own faults, so that a test can cut off one
 * router and leave others connected.
 */
import type { Stream } from "most";
import { delay, monotonicNow } from "../../common/clock.js";
import { createStream } from "../../common/streams.js";
import type {
    KeyValueEntry,
    KeyValueService,
    Transaction,
    TransactionResult,
    VmEntry,
    VmList,
    WatchEvent,
} from "../../domain/platform.js";
import { PlatformUnavailableError } from "../../errors/index.js";
import { CallCounts } from "./call-counts.js";
import { Availability, createFaults, type PlatformFaults } from "./faults.js";
import { KeyValueStore, selectPrefix, type StoreSnapshot, type Watcher } from "./key-value-store.js";

interface VmListState {
    readonly changedAt: number;
    readonly vms: readonly VmEntry[];
}

/** State that all clients of one platform share. */
class SharedState {
    readonly store = new KeyValueStore();
    readonly counts = new CallCounts();
    savedSnapshot: StoreSnapshot = this.store.snapshot();
    vmStates: VmListState[] = [{ changedAt: Number.NEGATIVE_INFINITY, vms: [] }];
}

/** One client of the stand-in platform. */
export class StandInPlatform implements KeyValueService {
    readonly faults: PlatformFaults = createFaults();
    private readonly openWatches = new Set<Watcher>();

    constructor(private readonly shared: SharedState = new SharedState()) {}

    /** Counts of the calls of all clients. */
    get counts(): CallCounts {
        return this.shared.counts;
    }

    get revision(): number {
        return this.shared.store.revision;
    }

    /** Creates another client of the same data, with its own faults. */
    createClient(): StandInPlatform {
        return new StandInPlatform(this.shared);
    }

    /** Stops events on this client's open watches, without an error or an end of the stream. */
    silenceOpenWatches(): void {
        for (const watch of this.openWatches) {
            watch.silent = true;
        }
    }

    /** Takes and returns the snapshot that reads return while the client's stale-read fault is on. */
    saveSnapshot(): StoreSnapshot {
        this.shared.savedSnapshot = this.shared.store.snapshot();
        return this.shared.savedSnapshot;
    }

    /** Reverts the data to the snapshot. */
    restoreSnapshot(snapshot: StoreSnapshot): void {
        this.shared.store.restore(snapshot);
    }

    /** Replaces the VM list; each client sees the change after its `vmListLagMilliseconds`. */
    setVms(vms: readonly VmEntry[]): void {
        this.shared.vmStates.push({ changedAt: monotonicNow(), vms });
    }

    async get(key: string, timeoutMilliseconds: number): Promise<KeyValueEntry | undefined> {
        this.counts.reads++;
        return this.call(timeoutMilliseconds, false, () => this.snapshotForReads().entries.get(key));
    }

    async list(
        prefix: string,
        timeoutMilliseconds: number,
        maximumEntries?: number,
        afterKey?: string,
    ): Promise<readonly KeyValueEntry[]> {
        this.counts.reads++;
        const select = () => selectPrefix(this.snapshotForReads(), prefix, maximumEntries, afterKey);
        return this.call(timeoutMilliseconds, false, select);
    }

    async transact(transaction: Transaction, timeoutMilliseconds: number): Promise<TransactionResult> {
        this.counts.writes++;
        return this.call(timeoutMilliseconds, true, () => this.shared.store.transact(transaction));
    }

    async grantLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<string> {
        this.counts.leaseCalls++;
        return this.call(timeoutMilliseconds, true, () => this.shared.store.grantLease(timeToLiveMilliseconds));
    }

    async keepLeaseAlive(leaseId: string, timeoutMilliseconds: number): Promise<void> {
        this.counts.leaseCalls++;
        await this.call(timeoutMilliseconds, true, () => this.shared.store.keepLeaseAlive(leaseId));
    }

    async revokeLease(leaseId: string, timeoutMilliseconds: number): Promise<void> {
        this.counts.leaseCalls++;
        await this.call(timeoutMilliseconds, true, () => this.shared.store.revokeLease(leaseId));
    }

    watch(prefix: string, afterRevision: number = this.revision): Stream<WatchEvent> {
        return createStream<WatchEvent>(emitter => {
            this.counts.watches++;
            if (this.faults.availability === Availability.refusing) {
                const timer = setTimeout(() => emitter.fail(connectionRefusedError()), 0);
                return () => clearTimeout(timer);
            }
            const silent = this.faults.silentWatches || this.faults.availability === Availability.hanging;
            const watcher: Watcher = {
                prefix,
                silent,
                receive: event => this.deliver(watcher, event, value => emitter.next(value)),
            };
            this.openWatches.add(watcher);
            const remove = this.shared.store.watch(watcher, afterRevision);
            return () => {
                watcher.silent = true;
                this.openWatches.delete(watcher);
                remove();
            };
        });
    }

    async listVms(timeoutMilliseconds: number): Promise<readonly VmEntry[]> {
        this.counts.vmLists++;
        return this.call(timeoutMilliseconds, false, () => this.delayedVmList());
    }

    /** The VM list as a separate interface, because `list` of this class belongs to the key-value service. */
    get vmList(): VmList {
        return { list: timeoutMilliseconds => this.listVms(timeoutMilliseconds) };
    }

    close(): void {
        this.shared.store.close();
    }

    private snapshotForReads(): StoreSnapshot {
        return this.faults.staleReads ? this.shared.savedSnapshot : this.shared.store.snapshot();
    }

    private delayedVmList(): readonly VmEntry[] {
        const visibleTime = monotonicNow() - this.faults.vmListLagMilliseconds;
        return this.shared.vmStates.findLast(state => state.changedAt <= visibleTime)?.vms ?? [];
    }

    /** Delivers an event after half the latency. An event while the client is cut off silences the watch. */
    private deliver(watcher: Watcher, event: WatchEvent, next: (event: WatchEvent) => void): void {
        if (this.faults.availability !== Availability.up) {
            watcher.silent = true;
        }
        setTimeout(() => {
            if (!watcher.silent) {
                next(event);
            }
        }, this.faults.latencyMilliseconds / 2);
    }

    private async call<Value>(timeoutMilliseconds: number, isWrite: boolean, operation: () => Value): Promise<Value> {
        if (this.faults.availability === Availability.refusing) {
            throw connectionRefusedError();
        }
        const hanging = this.faults.availability === Availability.hanging;
        const response = hanging ? new Promise<Value>(() => undefined) : this.respond(isWrite, operation);
        return withTimeout(response, timeoutMilliseconds, isWrite);
    }

    private async respond<Value>(isWrite: boolean, act: () => Value): Promise<Value> {
        const { latencyMilliseconds } = this.faults;
        await sleep(latencyMilliseconds / 2);
        const value = act();
        if (isWrite && this.faults.responsesToLose > 0) {
            this.faults.responsesToLose--;
            throw new PlatformUnavailableError("The platform's response was lost after the write took effect.", true);
        }
        await sleep(latencyMilliseconds / 2);
        return value;
    }
}

function connectionRefusedError(): PlatformUnavailableError {
    return new PlatformUnavailableError("The platform refused the connection.", false);
}

async function sleep(milliseconds: number): Promise<void> {
    if (milliseconds > 0) {
        await delay(milliseconds);
    }
}

function withTimeout<Value>(response: Promise<Value>, timeoutMilliseconds: number, isWrite: boolean): Promise<Value> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
            reject(
                new PlatformUnavailableError(`The platform did not respond within ${timeoutMilliseconds} ms.`, isWrite),
            );
        }, timeoutMilliseconds);
        // The timer of a hanging call must not keep a stopped process alive.
        timer.unref();
        response.then(resolve, reject).finally(() => clearTimeout(timer));
    });
}
