/**
 * Versions of the configuration in the platform's key-value service. A head key is changed by compare-and-swap only; a
 * sheet lies in chunks under the value limit; a record of each kept version gives the history.
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
    recordOf,
    recordsPrefix,
    splitChunks,
    type StoredHead,
} from "./stored-head.js";

/** The accepted head with the revision that a compare-and-swap must name; revision 0 means that there is none. */
export interface ObservedHead {
    readonly head: StoredHead | undefined;
    readonly revision: number;
}

/** Versions that are kept; older ones are removed as new ones are accepted. A little more than a day's changes. */
export const defaultKeptVersionTotal = 2_000;

/** Old versions that one push removes at most. */
const prunedVersionsPerPush = 4;

export class ConfigurationRepository {
    constructor(
        private readonly keyValueService: KeyValueService,
        private readonly timeoutMilliseconds: number,
        /** Versions that are kept. */
        readonly keptVersionTotal: number = defaultKeptVersionTotal,
    ) {}

    async readHead(): Promise<ObservedHead> {
        const entry = await this.keyValueService.get(headKey, this.timeoutMilliseconds);
        return entry === undefined
            ? { head: undefined, revision: 0 }
            : { head: decodeHead(entry.value), revision: entry.revision };
    }

    /** Reads the sheet that a head or record speaks of. */
    async readVersion(head: StoredHead): Promise<StoredVersion> {
        const entries = await this.keyValueService.list(chunkPrefix(head), this.timeoutMilliseconds);
        const compressedSheet = Buffer.concat(entries.map(entry => entry.value));
        if (hashBytes(compressedSheet) !== head.sha256) {
            throw new VersionCorruptError(`The sheet of version ${head.version}`);
        }
        return { record: recordOf(head), compressedSheet };
    }

    /** The record of a kept version. */
    async findRecord(version: number): Promise<StoredHead | undefined> {
        const entry = await this.keyValueService.get(recordKey(version), this.timeoutMilliseconds);
        return entry === undefined ? undefined : decodeHead(entry.value);
    }

    async readRecord(version: number): Promise<StoredHead> {
        const head = await this.findRecord(version);
        if (head === undefined) {
            throw new VersionNotFoundError(version);
        }
        return head;
    }

    /** Records of all kept versions, the newest first. */
    async listRecords(): Promise<readonly VersionRecord[]> {
        const entries = await this.keyValueService.list(recordsPrefix, this.timeoutMilliseconds);
        return entries.map(entry => recordOf(decodeHead(entry.value))).reverse();
    }

    /**
     * Makes the version the head if the head still has the given revision. May be called again after a lost answer: at
     * most one call takes effect. Resolves to whether this call took effect.
     */
    async accept(version: StoredVersion, headRevision: number): Promise<boolean> {
        const { record, compressedSheet } = version;
        const chunks = splitChunks(compressedSheet);
        const head = { ...record, chunkTotal: chunks.length, sha256: hashBytes(compressedSheet) };
        const writes = chunks.map<KeyWrite>((value, index) => ({ kind: "put", key: chunkKey(record, index), value }));
        // All but the last chunk go ahead, so that no transaction grows over the platform's limit.
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

    /** Removes the oldest versions beyond those that are kept. */
    async prune(headVersion: number): Promise<void> {
        const oldest = await this.keyValueService.list(recordsPrefix, this.timeoutMilliseconds, prunedVersionsPerPush);
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
