/**
 * The platform's services as the routers see them: a key-value service with compare-and-swap, leases and watches,
 * and a list of VMs that lags. Every call may fail, be slow, or take effect without its answer arriving.
 */
import type { Stream } from "most";

/** The largest value that the key-value service holds, in bytes. */
export const maximumValueBytes = 1_000_000;

/** A value and the revision of its last change. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Rises with each change of any key; 0 never occurs. */
    readonly revision: number;
}

/** What a key must look like for a write to take effect. */
export interface KeyCondition {
    readonly key: string;
    /** Revision of the last change, or 0 if the key must not exist. */
    readonly revision: number;
}

export type KeyWrite =
    | { readonly kind: "put"; readonly key: string; readonly value: Uint8Array; readonly leaseId?: string; }
    | { readonly kind: "delete"; readonly key: string; };

/** A write that takes effect whole or not at all. */
export interface Transaction {
    readonly conditions: readonly KeyCondition[];
    readonly writes: readonly KeyWrite[];
}

export interface TransactionResult {
    readonly succeeded: boolean;
    readonly revision: number;
}

export interface WatchEvent {
    readonly kind: "put" | "delete";
    readonly entry: KeyValueEntry;
}

/** The key-value service. Every failure is a PlatformUnavailableError. */
export interface KeyValueService {
    get(key: string, timeoutMilliseconds: number): Promise<KeyValueEntry | undefined>;
    /** All entries whose keys start with the prefix and come after the given key, in key order. */
    list(
        prefix: string,
        timeoutMilliseconds: number,
        maximumEntries?: number,
        afterKey?: string,
    ): Promise<readonly KeyValueEntry[]>;
    transact(transaction: Transaction, timeoutMilliseconds: number): Promise<TransactionResult>;
    grantLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<string>;
    /** Rejects with LeaseLostError if the lease has lapsed. */
    keepLeaseAlive(leaseId: string, timeoutMilliseconds: number): Promise<void>;
    revokeLease(leaseId: string, timeoutMilliseconds: number): Promise<void>;
    /** Changes after the given revision, or from now on without one. The stream can go silent without an error. */
    watch(prefix: string, afterRevision?: number): Stream<WatchEvent>;
}

export interface VmEntry {
    readonly id: string;
    readonly kind: "router" | "backend-server" | "service";
    /** Base URL by IP number. */
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    /** Name of the backend server class or of the plain service. */
    readonly className: string;
    readonly state: "live" | "leaving";
    readonly incarnation: number;
}

/** The platform's list of VMs; it lags behind. */
export interface VmList {
    list(timeoutMilliseconds: number): Promise<readonly VmEntry[]>;
}
