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
    decodeHead,
    encodeHead,
    hashBytes,
    headKey,
    recordKey,
    recordsPrefix,
    splitChunks,
    type StoredHead,
    toVersionRecord,
} from "./stored-head.js";

/** The accepted head and the key's revision, which a compare-and-swap must name. Revision 0: the key does not exist. */
export interface ObservedHead {
    readonly head: StoredHead | undefined;
    readonly revision: number;
}

/** Retained versions, a little more than a day's changes. Older ones are removed when new ones are accepted. */
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
            : { head: decodeHead(entry.value), revision: entry.revision };
    }

    /**
     * Reads the sheet of a head or record. Throws a VersionCorruptError when the chunks do not match its SHA-256 hash.
     */
    async readVersion(head: StoredHead): Promise<StoredVersion> {
        const entries = await this.keyValueService.list(chunkPrefix(head), this.timeoutMilliseconds);
        const compressedSheet = Buffer.concat(entries.map(entry => entry.value));
        if (hashBytes(compressedSheet) !== head.sha256) {
            throw new VersionCorruptError(`The sheet of version ${head.version}`);
        }
        return { record: toVersionRecord(head), compressedSheet };
    }

    /** Reads the record of a version; undefined when the version is not retained. */
    async findRecord(version: number): Promise<StoredHead | undefined> {
        const entry = await this.keyValueService.get(recordKey(version), this.timeoutMilliseconds);
        return entry === undefined ? undefined : decodeHead(entry.value);
    }

    /** Reads the record of a version. Throws a VersionNotFoundError when the version is not retained. */
    async readRecord(version: number): Promise<StoredHead> {
        const head = await this.findRecord(version);
        if (head === undefined) {
            throw new VersionNotFoundError(version);
        }
        return head;
    }

    /** Lists the records of all retained versions, newest first. */
    async listRecords(): Promise<readonly VersionRecord[]> {
        const entries = await this.keyValueService.list(recordsPrefix, this.timeoutMilliseconds);
        return entries.map(entry => toVersionRecord(decodeHead(entry.value))).reverse();
    }

    /**
     * Makes the version the head if the head key still has the given revision. May be repeated after a lost answer: at
     * most one call takes effect. Resolves to whether this call took effect.
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
        const value = encodeHead(head);
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

    /** Removes some of the versions that are older than the retained ones. */
    async prune(headVersion: number): Promise<void> {
        const oldest = await this.keyValueService.list(
            recordsPrefix,
            this.timeoutMilliseconds,
            maximumPrunedVersionsPerPush,
        );
        const expired = oldest.map(entry => decodeHead(entry.value))
            .filter(head => head.version <= headVersion - this.keptVersionTotal);
        const writes = expired.flatMap<KeyWrite>(head => [
            { kind: "delete", key: recordKey(head.version) },
            ...Array.from(
                { length: head.chunkTotal },
                (_unused, index): KeyWrite => ({ kind: "delete", key: chunkKey(head, index) }),
            ),
        ]);
        if (writes.length > 0) {
            await this.keyValueService.transact({ conditions: [], writes }, this.timeoutMilliseconds);
        }
    }
}
