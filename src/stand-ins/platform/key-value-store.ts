/** Data of the stand-in platform: entries with revisions, leases that expire on the runtime's timers, and watchers. */
import {
    type KeyCondition,
    type KeyValueEntry,
    type KeyWrite,
    maximumValueBytes,
    type Transaction,
    type TransactionResult,
    type WatchEvent,
} from "../../domain/platform.js";
import { LeaseLostError, ValueTooLargeError } from "../../errors/index.js";

/** Maximum number of past events for watchers that start at an earlier revision; then the oldest half is dropped. */
const maximumHistoryEvents = 10_000;

/** A copy of all entries at one revision. */
export interface StoreSnapshot {
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
    readonly revision: number;
}

/** Receiver of changes to the keys with a prefix. */
export interface Watcher {
    readonly prefix: string;
    /** Whether the watcher stays open but receives no further events. */
    silent: boolean;
    receive(event: WatchEvent): void;
}

interface Lease {
    readonly timeToLiveMilliseconds: number;
    readonly keys: Set<string>;
    timer: ReturnType<typeof setTimeout>;
}

/** In-memory store; every operation takes effect synchronously. */
export class KeyValueStore {
    private entries = new Map<string, KeyValueEntry>();
    private currentRevision = 1;
    private history: WatchEvent[] = [];
    private readonly leases = new Map<string, Lease>();
    private readonly leaseIdByKey = new Map<string, string>();
    private readonly watchers = new Set<Watcher>();
    private grantedLeaseCount = 0;

    get revision(): number {
        return this.currentRevision;
    }

    get watcherTotal(): number {
        return this.watchers.size;
    }

    snapshot(): StoreSnapshot {
        return { entries: new Map(this.entries), revision: this.currentRevision };
    }

    /** Reverts to the snapshot, as a restored backup does. Revisions keep increasing, as docs/PLATFORM.md requires. */
    restore(snapshot: StoreSnapshot): void {
        this.entries = new Map(snapshot.entries);
        this.history = this.history.filter(event => event.entry.revision <= snapshot.revision);
    }

    transact(transaction: Transaction): TransactionResult {
        for (const write of transaction.writes) {
            this.validateWrite(write);
        }
        if (!transaction.conditions.every(condition => this.conditionHolds(condition))) {
            return { succeeded: false, revision: this.currentRevision };
        }
        if (transaction.writes.length > 0) {
            this.currentRevision++;
        }
        for (const write of transaction.writes) {
            this.apply(write);
        }
        return { succeeded: true, revision: this.currentRevision };
    }

    grantLease(timeToLiveMilliseconds: number): string {
        const leaseId = String(++this.grantedLeaseCount);
        const timer = setTimeout(() => this.removeLease(leaseId), timeToLiveMilliseconds);
        this.leases.set(leaseId, { timeToLiveMilliseconds, keys: new Set(), timer });
        return leaseId;
    }

    keepLeaseAlive(leaseId: string): number {
        const lease = this.findLease(leaseId);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => this.removeLease(leaseId), lease.timeToLiveMilliseconds);
        return lease.timeToLiveMilliseconds;
    }

    revokeLease(leaseId: string): void {
        this.findLease(leaseId);
        this.removeLease(leaseId);
    }

    /** Adds a watcher, which first receives the past events after the revision. Returns a function that removes it. */
    watch(watcher: Watcher, afterRevision: number): () => void {
        for (const event of this.history) {
            if (event.entry.revision > afterRevision && event.entry.key.startsWith(watcher.prefix)) {
                watcher.receive(event);
            }
        }
        this.watchers.add(watcher);
        return () => this.watchers.delete(watcher);
    }

    silenceWatchers(): void {
        for (const watcher of this.watchers) {
            watcher.silent = true;
        }
    }

    close(): void {
        for (const lease of this.leases.values()) {
            clearTimeout(lease.timer);
        }
        this.leases.clear();
    }

    private validateWrite(write: KeyWrite): void {
        if (write.kind !== "put") {
            return;
        }
        if (write.value.byteLength > maximumValueBytes) {
            throw new ValueTooLargeError(write.key, write.value.byteLength);
        }
        if (write.leaseId !== undefined) {
            this.findLease(write.leaseId);
        }
    }

    private conditionHolds(condition: KeyCondition): boolean {
        return (this.entries.get(condition.key)?.revision ?? 0) === condition.revision;
    }

    private apply(write: KeyWrite): void {
        if (write.kind === "put") {
            const entry = { key: write.key, value: write.value.slice(), revision: this.currentRevision };
            this.entries.set(write.key, entry);
            this.attachLease(write.key, write.leaseId);
            this.notifyWatchers({ kind: "put", entry });
        }
        else if (this.entries.delete(write.key)) {
            this.attachLease(write.key, undefined);
            const entry = { key: write.key, value: new Uint8Array(), revision: this.currentRevision };
            this.notifyWatchers({ kind: "delete", entry });
        }
    }

    private attachLease(key: string, leaseId: string | undefined): void {
        const previousLeaseId = this.leaseIdByKey.get(key);
        if (previousLeaseId !== undefined) {
            this.leases.get(previousLeaseId)?.keys.delete(key);
            this.leaseIdByKey.delete(key);
        }
        if (leaseId !== undefined) {
            this.findLease(leaseId).keys.add(key);
            this.leaseIdByKey.set(key, leaseId);
        }
    }

    private findLease(leaseId: string): Lease {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            throw new LeaseLostError(leaseId);
        }
        return lease;
    }

    private removeLease(leaseId: string): void {
        const lease = this.findLease(leaseId);
        clearTimeout(lease.timer);
        this.leases.delete(leaseId);
        const writes: KeyWrite[] = [...lease.keys].map(key => ({ kind: "delete", key }));
        this.transact({ conditions: [], writes });
    }

    private notifyWatchers(event: WatchEvent): void {
        this.history.push(event);
        if (this.history.length > maximumHistoryEvents) {
            this.history = this.history.slice(-maximumHistoryEvents / 2);
        }
        for (const watcher of [...this.watchers]) {
            if (!watcher.silent && event.entry.key.startsWith(watcher.prefix)) {
                watcher.receive(event);
            }
        }
    }
}

/** The entries of a snapshot whose keys start with the prefix and come after the given key, in key order. */
export function selectPrefix(
    snapshot: StoreSnapshot,
    prefix: string,
    maximumEntries?: number,
    afterKey = "",
): KeyValueEntry[] {
    return [...snapshot.entries.values()]
        .filter(entry => entry.key.startsWith(prefix) && entry.key > afterKey)
        .sort((left, right) => left.key < right.key ? -1 : 1)
        .slice(0, maximumEntries);
}
