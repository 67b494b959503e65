/**
 * Stores configuration versions in the platform's key-value service. The head key, which names the accepted version, is
 * changed by compare-and-swap only. A sheet is split into chunks that stay under the platform's limit for a value. One
 * record per retained version makes up the history.
 */
import type { VersionRecord } from "../../domain/configuration-record.js";
import type { KeyValueService, KeyWrite } from "../../domain/platform.js";
import type { StoredVersion } from "../../domain/version-exchange.js";
import { VersionCorruptError, VersionNotFoundError } from "../../errors/index.js";
import {
    chunkKey,
    chunkPrefix,
    decodeRecord,
    encodeRecord,
    hashBytes,
    headKey,
    recordKey,
    recordsPrefix,
    splitChunks,
    type StoredRecord,
    toVersionRecord,
} from "./stored-record.js";

/** The record at the head key, and the key's revision, which a compare-and-swap must name; 0 if there is no head. */
export interface ObservedHead {
    readonly head: StoredRecord | undefined;
    readonly revision: number;
}

/** Number of retained versions, a little more than a day's changes. Each accepted push deletes older ones. */
export const defaultKeptVersionTotal = 2_000;

/** Maximum number of expired versions that one push removes. */
const maximumPrunedVersionsPerPush = 4;

export class ConfigurationRepository {
    constructor(
        private readonly keyValueService: KeyValueService,
        private readonly timeoutMilliseconds: number,
        /** Number of retained versions. */
        readonly keptVersionTotal: number = defaultKeptVersionTotal,
    ) {}

    async readHead(): Promise<ObservedHead> {
        const entry = await this.keyValueService.get(headKey, this.timeoutMilliseconds);
        return entry === undefined
            ? { head: undefined, revision: 0 }
            : { head: decodeRecord(entry.value), revision: entry.revision };
    }

    /**
     * Reads the sheet of a record. Throws a VersionCorruptError when the chunks do not match the record's SHA-256 hash.
     */
    async readVersion(storedRecord: StoredRecord): Promise<StoredVersion> {
        const entries = await this.keyValueService.list(chunkPrefix(storedRecord), this.timeoutMilliseconds);
        const compressedSheet = Buffer.concat(entries.map(entry => entry.value));
        if (hashBytes(compressedSheet) !== storedRecord.sha256) {
            throw new VersionCorruptError(`The sheet of version ${storedRecord.version}`);
        }
        return { record: toVersionRecord(storedRecord), compressedSheet };
    }

    /** Reads the record of a version; undefined when the version is not retained. */
    async findRecord(version: number): Promise<StoredRecord | undefined> {
        const entry = await this.keyValueService.get(recordKey(version), this.timeoutMilliseconds);
        return entry === undefined ? undefined : decodeRecord(entry.value);
    }

    /** Reads the record of a version. Throws a VersionNotFoundError when the version is not retained. */
    async readRecord(version: number): Promise<StoredRecord> {
        const storedRecord = await this.findRecord(version);
        if (storedRecord === undefined) {
            throw new VersionNotFoundError(version);
        }
        return storedRecord;
    }

    /** Lists the records of all retained versions, newest first. */
    async listRecords(): Promise<readonly VersionRecord[]> {
        const entries = await this.keyValueService.list(recordsPrefix, this.timeoutMilliseconds);
        return entries.map(entry => toVersionRecord(decodeRecord(entry.value))).reverse();
    }

    /**
     * Makes the version the head if the head key still has the given revision. May be repeated after a lost response:
     * at most one call takes effect. Resolves to whether this call took effect.
     */
    async accept(version: StoredVersion, headRevision: number): Promise<boolean> {
        const { record, compressedSheet } = version;
        const chunks = splitChunks(compressedSheet);
        const head = { ...record, chunkTotal: chunks.length, sha256: hashBytes(compressedSheet) };
        const writes = chunks.map<KeyWrite>((value, index) => ({ kind: "put", key: chunkKey(record, index), value }));
        // All chunks but the last are written beforehand, so that no transaction exceeds the platform's size limit.
        const last = writes.pop()!;
        for (const write of writes) {
            await this.keyValueService.transact({ conditions: [], writes: [write] }, this.timeoutMilliseconds);
        }
        const value = encodeRecord(head);
        const { succeeded } = await this.keyValueService.transact({
            conditions: [{ key: headKey, revision: headRevision }],
            writes: [
                last,
                { kind: "put", key: recordKey(record.version), value },
                { kind: "put", key: headKey, value },
            ],
        }, this.timeoutMilliseconds);
        return succeeded;
    }

    /** Deletes the oldest versions beyond the number to retain, at most `maximumPrunedVersionsPerPush` of them. */
    async prune(headVersion: number): Promise<void> {
        const oldest = await this.keyValueService.list(
            recordsPrefix,
            this.timeoutMilliseconds,
            maximumPrunedVersionsPerPush,
        );
        const expired = oldest.map(entry => decodeRecord(entry.value))
            .filter(storedRecord => storedRecord.version <= headVersion - this.keptVersionTotal);
        const writes = expired.flatMap<KeyWrite>(storedRecord => [
            { kind: "delete", key: recordKey(storedRecord.version) },
            ...Array.from(
                { length: storedRecord.chunkTotal },
                (_unused, index): KeyWrite => ({ kind: "delete", key: chunkKey(storedRecord, index) }),
            ),
        ]);
        if (writes.length > 0) {
            await this.keyValueService.transact({ conditions: [], writes }, this.timeoutMilliseconds);
        }
    }
}
