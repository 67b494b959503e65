/**
 * One shard's log in the platform's key-value service. Each append creates the next segment and advances the head in
 * one compare-and-swap transaction. A router that resumes after a pause, or two routers that both consider themselves
 * the shard's owner, therefore can't append at the same position. Merges and deletions change neither the head nor the
 * last segment.
 */
import type { KeyValueEntry, KeyValueService, KeyWrite } from "../../domain/platform.js";
import { LedgerCorruptError, PlatformUnavailableError } from "../../errors/index.js";
import { platformCallTimeoutMilliseconds, segmentsPerRead } from "./constants.js";
import {
    decodeHead,
    decodeSegment,
    encodeHead,
    encodeSegment,
    headKey,
    type LedgerEntry,
    type LedgerSegment,
    logPrefix,
    segmentKey,
} from "./ledger-segment.js";

/** Sequence number up to which a reader has read the log, and the revision of the head key at that point. */
export interface LogPosition {
    readonly sequence: number;
    readonly headRevision: number;
}

/** A segment with its key, the key's revision, which a transaction on it must name, and its compressed size. */
export interface StoredSegment {
    readonly key: string;
    readonly revision: number;
    readonly storedBytes: number;
    readonly segment: LedgerSegment;
}

/** The segments after a reader's position, and its new position. */
export interface LogReadResult {
    readonly position: LogPosition;
    readonly segments: readonly StoredSegment[];
}

/** An appended segment, and the position of the log after it. */
export interface AppendedSegment {
    readonly position: LogPosition;
    readonly stored: StoredSegment;
}

/** Maximum attempts at a read that concurrent merges make inconsistent. */
const maximumReadAttempts = 5;

export class ShardLog {
    constructor(private readonly keyValueService: KeyValueService, private readonly shard: number) {}

    /**
     * Reads all segments after the position, or the whole log if none is given. Throws a PlatformUnavailableError when
     * the platform's head is older than the position, and a LedgerCorruptError when segments are missing at every
     * attempt.
     */
    async read(position?: LogPosition): Promise<LogReadResult> {
        for (let attempt = 0; attempt < maximumReadAttempts; attempt++) {
            const head = await this.readHead();
            if (head.sequence < (position?.sequence ?? 0)) {
                throw new PlatformUnavailableError(
                    `The platform returned stale data for ${headKey(this.shard)}.`,
                    false,
                );
            }
            if (head.headRevision === position?.headRevision) {
                return { position, segments: [] };
            }
            const segments = await this.readSegments(position?.sequence ?? 0, head.sequence);
            if (isContiguous(segments, position, head)) {
                return { position: head, segments };
            }
        }
        throw new LedgerCorruptError(logPrefix(this.shard));
    }

    /** Appends the entries after the position. Resolves to undefined if the head has changed since it was read. */
    async append(position: LogPosition, entries: readonly LedgerEntry[]): Promise<AppendedSegment | undefined> {
        const sequence = position.sequence + 1;
        const key = segmentKey(this.shard, sequence);
        const segment = { first: sequence, last: sequence, entries };
        const value = encodeSegment(segment);
        const result = await this.keyValueService.transact({
            conditions: [{ key: headKey(this.shard), revision: position.headRevision }, { key, revision: 0 }],
            writes: [
                { kind: "put", key, value },
                { kind: "put", key: headKey(this.shard), value: encodeHead({ sequence }) },
            ],
        }, platformCallTimeoutMilliseconds);
        if (!result.succeeded) {
            return undefined;
        }
        const { revision } = result;
        return {
            position: { sequence, headRevision: revision },
            stored: { key, revision, storedBytes: value.byteLength, segment },
        };
    }

    /** Reads the oldest segments after the given sequence number. */
    async readStored(afterSequence: number, maximumSegments: number): Promise<readonly StoredSegment[]> {
        const entries = await this.list(afterSequence, maximumSegments);
        return entries.map(({ key, value, revision }) => ({
            key,
            revision,
            storedBytes: value.byteLength,
            segment: decodeSegment(key, value),
        }));
    }

    /** Replaces consecutive segments by one. Resolves to undefined, without a change, if one of them was changed. */
    async merge(segments: readonly StoredSegment[]): Promise<StoredSegment | undefined> {
        const first = segments[0]!;
        const last = segments.at(-1)!;
        const entries = segments.flatMap(each => each.segment.entries);
        const merged = { first: first.segment.first, last: last.segment.last, entries };
        const deletes = segments.slice(0, -1).map<KeyWrite>(each => ({ kind: "delete", key: each.key }));
        const value = encodeSegment(merged);
        const revision = await this.replace(segments, [...deletes, { kind: "put", key: last.key, value }]);
        return revision === undefined
            ? undefined
            : { key: last.key, revision, storedBytes: value.byteLength, segment: merged };
    }

    /** Deletes segments. Resolves to false, without a change, if one of them was changed. */
    async delete(segments: readonly StoredSegment[]): Promise<boolean> {
        return await this.replace(segments, segments.map(({ key }) => ({ kind: "delete", key }))) !== undefined;
    }

    private async replace(
        segments: readonly StoredSegment[],
        writes: readonly KeyWrite[],
    ): Promise<number | undefined> {
        const conditions = segments.map(({ key, revision }) => ({ key, revision }));
        const result = await this.keyValueService.transact({ conditions, writes }, platformCallTimeoutMilliseconds);
        return result.succeeded ? result.revision : undefined;
    }

    private async readHead(): Promise<LogPosition> {
        const key = headKey(this.shard);
        const entry = await this.keyValueService.get(key, platformCallTimeoutMilliseconds);
        return entry === undefined
            ? { sequence: 0, headRevision: 0 }
            : { sequence: decodeHead(key, entry.value).sequence, headRevision: entry.revision };
    }

    private async readSegments(afterSequence: number, lastSequence: number): Promise<StoredSegment[]> {
        const segments: StoredSegment[] = [];
        for (let sequence = afterSequence; sequence < lastSequence;) {
            const page = await this.readStored(sequence, segmentsPerRead);
            segments.push(...page);
            sequence = page.at(-1)?.segment.last ?? lastSequence;
        }
        // Another router may have appended a segment between the reads of the head and of the segments.
        return segments.filter(({ segment }) => segment.first <= lastSequence);
    }

    private list(afterSequence: number, maximumSegments: number): Promise<readonly KeyValueEntry[]> {
        return this.keyValueService.list(
            logPrefix(this.shard),
            platformCallTimeoutMilliseconds,
            maximumSegments,
            segmentKey(this.shard, afterSequence),
        );
    }
}

/** Whether the segments run from the position to the head without a gap. A merge between two reads can leave a gap. */
function isContiguous(
    segments: readonly StoredSegment[],
    position: LogPosition | undefined,
    head: LogPosition,
): boolean {
    let next = position === undefined ? segments[0]?.segment.first ?? head.sequence + 1 : position.sequence + 1;
    for (const { segment } of segments) {
        if (segment.first > next) {
            return false;
        }
        next = segment.last + 1;
    }
    return next === head.sequence + 1;
}
