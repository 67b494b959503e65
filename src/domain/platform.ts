/**
 * The platform's services as used by the routers: a key-value service with compare-and-swap, leases and watches, and a
 * list of VMs that lags behind. Any call may fail, be slow, or take effect although its response is lost.
 */
import type { Stream } from "most";

/** The largest value that the key-value service accepts. */
export const maximumValueBytes = 1_000_000;

export interface KeyValueEntry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last change. Revisions increase with each change of any key; 0 is never used. */
    readonly revision: number;
}

/** A precondition of a transaction on the state of one key. */
export interface KeyCondition {
    readonly key: string;
    /** Required revision of the last change; 0 if the key must not exist. */
    readonly revision: number;
}

export type KeyWrite =
    | { readonly kind: "put"; readonly key: string; readonly value: Uint8Array; readonly leaseId?: string; }
    | { readonly kind: "delete"; readonly key: string; };

/** Applies all writes if every condition holds, otherwise none. */
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
    /** Lists entries whose keys start with the prefix and sort after the given key, in key order. */
    list(
        prefix: string,
        timeoutMilliseconds: number,
        maximumEntries?: number,
        afterKey?: string,
    ): Promise<readonly KeyValueEntry[]>;
    transact(transaction: Transaction, timeoutMilliseconds: number): Promise<TransactionResult>;
    grantLease(timeToLiveMilliseconds: number, timeoutMilliseconds: number): Promise<string>;
    /** Rejects with LeaseLostError if the lease has expired. */
    keepLeaseAlive(leaseId: string, timeoutMilliseconds: number): Promise<void>;
    revokeLease(leaseId: string, timeoutMilliseconds: number): Promise<void>;
    /** Emits changes after the given revision, by default from now on. The stream may go silent without an error. */
    watch(prefix: string, afterRevision?: number): Stream<WatchEvent>;
}

export interface VmEntry {
    readonly id: string;
    readonly kind: "router" | "backend-server" | "service";
    /** Base URL with an IP address. */
    readonly address: string;
    readonly region: string;
    readonly availabilityZone: string;
    /** Name of the backend server class or of the plain service. */
    readonly className: string;
    readonly state: "live" | "leaving";
    readonly incarnation: number;
}

/** The platform's list of VMs, which lags behind their actual state. */
export interface VmList {
    list(timeoutMilliseconds: number): Promise<readonly VmEntry[]>;
}
