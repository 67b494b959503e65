/** Summaries of a shard's segments without their entries: enough for a writer to select segments to merge or delete. */
import { maximumSegmentBytes, segmentsPerMerge } from "./constants.js";
import type { StoredSegment } from "./shard-log.js";

export interface SegmentSummary {
    readonly first: number;
    readonly last: number;
    readonly storedBytes: number;
    /** Wall-clock time of the latest claim in milliseconds; 0 if the segment contains outcomes only. */
    readonly newestClaimedAt: number;
}

/** Minimum number of segments of one size class for which a merge is worth its write. */
const minimumSegmentsPerMerge = 30;

/**
 * Size ratio between successive size classes. Only segments of one class are merged, so each byte is rewritten few
 * times.
 */
const sizeClassFactor = 8;
const smallestClassBytes = 4_096;

export class SegmentIndex {
    private segments: SegmentSummary[] = [];

    get total(): number {
        return this.segments.length;
    }

    /** Adds a segment at the end; replaces segments that overlap with it. */
    add(stored: StoredSegment): void {
        const summary = summarize(stored);
        while (this.segments.length > 0 && this.segments.at(-1)!.last >= summary.first) {
            this.segments.pop();
        }
        this.segments.push(summary);
    }

    /** Replaces consecutive segments by the merged one; removes them if it is undefined. */
    replace(run: readonly SegmentSummary[], merged: StoredSegment | undefined): void {
        const start = this.segments.indexOf(run[0]!);
        this.segments.splice(start, run.length, ...(merged === undefined ? [] : [summarize(merged)]));
    }

    /** Returns consecutive segments that are worth merging, or none; never the last segment of the log. */
    findMergeRun(): readonly SegmentSummary[] {
        const candidates = this.segments.slice(0, -1);
        let run: SegmentSummary[] = [];
        for (const segment of candidates) {
            const fits = run.length === 0
                || sizeClass(segment) === sizeClass(run[0]!) && fitsInOneSegment(run, segment);
            run = fits ? [...run, segment] : [segment];
            if (run.length === segmentsPerMerge) {
                break;
            }
        }
        return run.length >= minimumSegmentsPerMerge ? run : [];
    }

    /**
     * Returns the oldest segments, all of whose claims precede the given wall-clock time in milliseconds; at most
     * `segmentsPerMerge` of them, and never the last segment of the log.
     */
    findExpired(claimedBefore: number): readonly SegmentSummary[] {
        const expired: SegmentSummary[] = [];
        for (const segment of this.segments.slice(0, -1)) {
            if (segment.newestClaimedAt >= claimedBefore || expired.length === segmentsPerMerge) {
                break;
            }
            expired.push(segment);
        }
        return expired;
    }
}

function summarize(stored: StoredSegment): SegmentSummary {
    const { first, last, entries } = stored.segment;
    const newestClaimedAt = entries.reduce(
        (newest, entry) => entry.type === "claim" ? Math.max(newest, entry.claim.claimedAt) : newest,
        0,
    );
    return { first, last, storedBytes: stored.storedBytes, newestClaimedAt };
}

function sizeClass(segment: SegmentSummary): number {
    const ratio = Math.max(1, segment.storedBytes / smallestClassBytes);
    return Math.floor(Math.log(ratio) / Math.log(sizeClassFactor));
}

/** Entries that are compressed together are, up to a few bytes, no larger than the sum of the separate segments. */
function fitsInOneSegment(run: readonly SegmentSummary[], segment: SegmentSummary): boolean {
    const bytes = run.reduce((sum, each) => sum + each.storedBytes, segment.storedBytes);
    return bytes <= maximumSegmentBytes;
}
