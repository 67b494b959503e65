/** The keys and JSON values under which versions are stored in the platform's key-value service. */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { VersionRecord } from "../../domain/configuration-record.js";
import { VersionCorruptError } from "../../errors/index.js";

/** Prefix of all configuration keys. */
export const configurationPrefix = "pomelostall/configuration/";
/** Key of the head, which is the record of the last accepted version; changed by compare-and-swap only. */
export const headKey = `${configurationPrefix}head`;
/** Prefix of the records of retained versions, one key per version. */
export const recordsPrefix = `${configurationPrefix}records/`;
const chunksPrefix = `${configurationPrefix}chunks/`;

/** Maximum size of a chunk; well under the platform's limit for a value. */
export const chunkBytes = 900_000;

const versionDigits = 12;

const storedRecordSchema = z.object({
    version: z.int().min(1),
    pushId: z.string(),
    parent: z.int().min(0),
    author: z.string(),
    acceptedAt: z.string(),
    chunkTotal: z.int().min(1),
    /** Hexadecimal hash of the compressed sheet. */
    sha256: z.string(),
});

/** A version's record, with the number of chunks and the hash of its sheet. The head key holds one as well. */
export type StoredRecord = z.infer<typeof storedRecordSchema>;

export function encodeRecord(record: StoredRecord): Uint8Array {
    return Buffer.from(JSON.stringify(record), "utf8");
}

/** Throws a VersionCorruptError when the value is not a valid record. */
export function decodeRecord(value: Uint8Array): StoredRecord {
    try {
        return storedRecordSchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
    }
    catch (error) {
        throw new VersionCorruptError("The record of a version", error);
    }
}

export function toVersionRecord(record: StoredRecord): VersionRecord {
    const { version, pushId, parent, author, acceptedAt } = record;
    return { version, pushId, parent, author, acceptedAt };
}

export function recordKey(version: number): string {
    return `${recordsPrefix}${formatVersion(version)}`;
}

/** Prefix of a sheet's chunks. The push ID keeps apart the chunks of two pushes that attempt the same version. */
export function chunkPrefix(record: { readonly version: number; readonly pushId: string; }): string {
    return `${chunksPrefix}${formatVersion(record.version)}/${record.pushId}/`;
}

export function chunkKey(record: { readonly version: number; readonly pushId: string; }, index: number): string {
    return `${chunkPrefix(record)}${String(index).padStart(4, "0")}`;
}

export function splitChunks(bytes: Uint8Array): Uint8Array[] {
    const chunks: Uint8Array[] = [];
    for (let start = 0; start === 0 || start < bytes.length; start += chunkBytes) {
        chunks.push(bytes.subarray(start, start + chunkBytes));
    }
    return chunks;
}

export function hashBytes(bytes: Uint8Array): string {
    return createHash("sha256").update(bytes).digest("hex");
}

function formatVersion(version: number): string {
    return String(version).padStart(versionDigits, "0");
}
