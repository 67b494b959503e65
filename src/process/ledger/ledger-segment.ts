/** Keys and encoding of a shard's log. The log is a sequence of segments: one per batch at first, merged later. */
import { gunzipSync, gzipSync } from "node:zlib";
import type { LedgerOperation } from "../../domain/booking-ledger.js";
import { LedgerCorruptError } from "../../errors/index.js";

/** An operation that is recorded in the log; lookups are not. */
export type LedgerEntry = Exclude<LedgerOperation, { type: "lookup"; }>;

/** The entries of consecutive batches. Its key in the log contains the sequence number of the last batch. */
export interface LedgerSegment {
    readonly first: number;
    readonly last: number;
    readonly entries: readonly LedgerEntry[];
}

/** The sequence number of the last batch in a shard's log; each append changes it by compare-and-swap. */
export interface LedgerHead {
    readonly sequence: number;
}

const sequenceDigits = 12;
const shardDigits = 3;
const ledgerPrefix = "pomelostall/bookings/";

export function headKey(shard: number): string {
    return `${shardPrefix(shard)}head`;
}

export function logPrefix(shard: number): string {
    return `${shardPrefix(shard)}log/`;
}

export function segmentKey(shard: number, sequence: number): string {
    return `${logPrefix(shard)}${String(sequence).padStart(sequenceDigits, "0")}`;
}

function shardPrefix(shard: number): string {
    return `${ledgerPrefix}${String(shard).padStart(shardDigits, "0")}/`;
}

export function encodeSegment(segment: LedgerSegment): Uint8Array {
    return gzipSync(JSON.stringify(segment));
}

export function decodeSegment(key: string, value: Uint8Array): LedgerSegment {
    return parse(key, () => JSON.parse(gunzipSync(value).toString("utf8")) as LedgerSegment);
}

export function encodeHead(head: LedgerHead): Uint8Array {
    return Buffer.from(JSON.stringify(head), "utf8");
}

export function decodeHead(key: string, value: Uint8Array): LedgerHead {
    return parse(key, () => JSON.parse(Buffer.from(value).toString("utf8")) as LedgerHead);
}

/** Throws a LedgerCorruptError when the value can't be decoded. */
function parse<Value>(key: string, read: () => Value): Value {
    try {
        return read();
    }
    catch (error) {
        throw new LedgerCorruptError(key, error);
    }
}
