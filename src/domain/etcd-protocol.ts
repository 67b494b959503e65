/**
 * The part of the etcd v3 API in its JSON form that pomelostall uses. Keys and values are base64; 64-bit integers are
 * decimal strings; fields with their default value are left out. docs/PLATFORM.md lists the calls.
 */

export interface EtcdHeader {
    readonly revision?: string;
}

export interface EtcdKeyValue {
    readonly key: string;
    readonly value?: string;
    readonly mod_revision?: string;
}

export interface EtcdRangeRequest {
    readonly key: string;
    readonly range_end?: string;
    readonly limit?: string;
}

export interface EtcdRangeResponse {
    readonly header?: EtcdHeader;
    readonly kvs?: readonly EtcdKeyValue[];
}

export interface EtcdCompare {
    readonly result: "EQUAL";
    readonly target: "MOD";
    readonly key: string;
    readonly mod_revision: string;
}

export interface EtcdOperation {
    readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string; };
    readonly request_delete_range?: { readonly key: string; };
}

export interface EtcdTransactionRequest {
    readonly compare: readonly EtcdCompare[];
    readonly success: readonly EtcdOperation[];
}

export interface EtcdTransactionResponse {
    readonly header?: EtcdHeader;
    readonly succeeded?: boolean;
}

export interface EtcdLeaseRequest {
    readonly ID?: string;
    /** Seconds. */
    readonly TTL?: string;
}

export interface EtcdLeaseResponse {
    readonly ID?: string;
    /** Seconds; 0 or missing for a lease that has lapsed. */
    readonly TTL?: string;
}

export interface EtcdWatchRequest {
    readonly create_request: {
        readonly key: string;
        readonly range_end: string;
        readonly start_revision?: string;
    };
}

export interface EtcdEvent {
    /** Missing for PUT, which is the default. */
    readonly type?: "PUT" | "DELETE";
    readonly kv: EtcdKeyValue;
}

export interface EtcdWatchResponse {
    readonly header?: EtcdHeader;
    readonly created?: boolean;
    readonly canceled?: boolean;
    readonly events?: readonly EtcdEvent[];
}

/** Streamed calls wrap each message. */
export interface EtcdStreamMessage<Message> {
    readonly result?: Message;
}

export interface EtcdErrorResponse {
    /** A gRPC status code. */
    readonly code: number;
    readonly message: string;
}

export const etcdPaths = {
    range: "/v3/kv/range",
    transaction: "/v3/kv/txn",
    leaseGrant: "/v3/lease/grant",
    leaseKeepAlive: "/v3/lease/keepalive",
    leaseRevoke: "/v3/lease/revoke",
    watch: "/v3/watch",
} as const;

/** Path of the VM list, which is not a part of etcd. */
export const vmListPath = "/vms";

export function encodeKey(key: string): string {
    return Buffer.from(key, "utf8").toString("base64");
}

export function decodeKey(encoded: string): string {
    return Buffer.from(encoded, "base64").toString("utf8");
}

export function encodeBytes(bytes: Uint8Array): string {
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString("base64");
}

export function decodeBytes(encoded: string | undefined): Uint8Array {
    return new Uint8Array(Buffer.from(encoded ?? "", "base64"));
}

/** The end of the range of all keys with the prefix: the prefix with its last byte raised by one. */
export function encodePrefixEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    const last = bytes.length - 1;
    bytes[last] = bytes[last]! + 1;
    return bytes.toString("base64");
}
