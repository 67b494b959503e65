/**
 * The platform in process: the key-value service and the VM list on the runtime's clock, with faults that a test
 * switches on. `access` gives further clients of the same data with faults of their own, so that one router can be
 * cut off while others are not.
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
    readonly since: number;
    readonly vms: readonly VmEntry[];
}

/** Everything that the clients of one platform share. */
class SharedState {
    readonly store = new KeyValueStore();
    readonly counts = new CallCounts();
    remembered: StoreSnapshot = this.store.snapshot();
    vmStates: VmListState[] = [{ since: Number.NEGATIVE_INFINITY, vms: [] }];
}

/** One client's view of the platform. */
export class StandInPlatform implements KeyValueService {
    readonly faults: PlatformFaults = createFaults();
    private readonly openWatches = new Set<Watcher>();

    constructor(private readonly shared: SharedState = new SharedState()) {}

    /** Calls of all clients. */
    get counts(): CallCounts {
        return this.shared.counts;
    }

    get revision(): number {
        return this.shared.store.revision;
    }

    /** Another client of the same data, with its own faults. */
    access(): StandInPlatform {
        return new StandInPlatform(this.shared);
    }

    /** Makes the watches that are open now receive nothing more, without an error. */
    silenceOpenWatches(): void {
        for (const watch of this.openWatches) {
            watch.silent = true;
        }
    }

    /** Keeps the present data for the `olderData` fault. */
    rememberData(): StoreSnapshot {
        this.shared.remembered = this.shared.store.snapshot();
        return this.shared.remembered;
    }

    /** Loses every change since the snapshot. */
    restoreData(snapshot: StoreSnapshot): void {
        this.shared.store.restore(snapshot);
    }

    /** Replaces the VM list; clients see it after their `vmListLagMilliseconds`. */
    setVms(vms: readonly VmEntry[]): void {
        this.shared.vmStates.push({ since: monotonicNow(), vms });
    }

    async get(key: string, timeoutMilliseconds: number): Promise<KeyValueEntry | undefined> {
        this.counts.reads++;
        return this.call(timeoutMilliseconds, false, () => this.readable().entries.get(key));
    }

    async list(
        prefix: string,
        timeoutMilliseconds: number,
        maximumEntries?: number,
        afterKey?: string,
    ): Promise<readonly KeyValueEntry[]> {
        this.counts.reads++;
        const select = () => selectPrefix(this.readable(), prefix, maximumEntries, afterKey);
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
                const timer = setTimeout(() => emitter.fail(refused()), 0);
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
        return this.call(timeoutMilliseconds, false, () => this.laggingVms());
    }

    /** The VM list as an interface of its own; `list` of this class is the key-value service's. */
    get vmList(): VmList {
        return { list: timeoutMilliseconds => this.listVms(timeoutMilliseconds) };
    }

    close(): void {
        this.shared.store.close();
    }

    private readable(): StoreSnapshot {
        return this.faults.olderData ? this.shared.remembered : this.shared.store.snapshot();
    }

    private laggingVms(): readonly VmEntry[] {
        const time = monotonicNow() - this.faults.vmListLagMilliseconds;
        return this.shared.vmStates.findLast(state => state.since <= time)?.vms ?? [];
    }

    /** A client that was cut off keeps its open watches, which miss what happens and say nothing. */
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

    private async call<Value>(timeoutMilliseconds: number, isWrite: boolean, act: () => Value): Promise<Value> {
        if (this.faults.availability === Availability.refusing) {
            throw refused();
        }
        const hanging = this.faults.availability === Availability.hanging;
        const answer = hanging ? new Promise<Value>(() => undefined) : this.answer(isWrite, act);
        return withTimeout(answer, timeoutMilliseconds, isWrite);
    }

    private async answer<Value>(isWrite: boolean, act: () => Value): Promise<Value> {
        const { latencyMilliseconds } = this.faults;
        await pass(latencyMilliseconds / 2);
        const value = act();
        if (isWrite && this.faults.loseAnswers > 0) {
            this.faults.loseAnswers--;
            throw new PlatformUnavailableError("The platform's answer was lost.", true);
        }
        await pass(latencyMilliseconds / 2);
        return value;
    }
}

function refused(): PlatformUnavailableError {
    return new PlatformUnavailableError("The platform refused the connection.", false);
}

async function pass(milliseconds: number): Promise<void> {
    if (milliseconds > 0) {
        await delay(milliseconds);
    }
}

function withTimeout<Value>(answer: Promise<Value>, timeoutMilliseconds: number, isWrite: boolean): Promise<Value> {
    return new Promise((resolve, reject) => {
        const timer = setTimeout(() => {
            reject(new PlatformUnavailableError(`No answer in ${timeoutMilliseconds} ms.`, isWrite));
        }, timeoutMilliseconds);
        // A call that hangs must not keep a stopped process alive.
        timer.unref();
        answer.then(resolve, reject).finally(() => clearTimeout(timer));
    });
}
