/** What a writer knows of its shard's segments without their entries: enough to choose what to merge and to forget. */
import { maximumSegmentBytes, segmentsPerMerge } from "./constants.js";
import type { StoredSegment } from "./shard-log.js";

export interface SegmentSummary {
    readonly first: number;
    readonly last: number;
    readonly storedBytes: number;
    /** Wall clock of the latest claim in it; 0 for a segment of outcomes only. */
    readonly newestClaimedAt: number;
}

/** Segments of about the same size that make a merge worth its write. */
const minimumSegmentsPerMerge = 30;

/** Segments of one class differ at most by this factor, so that each byte is rewritten a few times only. */
const sizeClassFactor = 8;
const smallestClassBytes = 4_096;

export class SegmentIndex {
    private segments: SegmentSummary[] = [];

    get total(): number {
        return this.segments.length;
    }

    /** Adds a segment at the end; what it covers again is replaced. */
    add(stored: StoredSegment): void {
        const summary = summarize(stored);
        while (this.segments.length > 0 && this.segments.at(-1)!.last >= summary.first) {
            this.segments.pop();
        }
        this.segments.push(summary);
    }

    replace(run: readonly SegmentSummary[], merged: StoredSegment | undefined): void {
        const start = this.segments.indexOf(run[0]!);
        this.segments.splice(start, run.length, ...(merged === undefined ? [] : [summarize(merged)]));
    }

    /** Consecutive segments that are worth merging; never the last one of the log. */
    findMergeRun(): readonly SegmentSummary[] {
        const candidates = this.segments.slice(0, -1);
        let run: SegmentSummary[] = [];
        for (const segment of candidates) {
            const fits = run.length === 0 || sizeClass(segment) === sizeClass(run[0]!) && fitsTogether(run, segment);
            run = fits ? [...run, segment] : [segment];
            if (run.length === segmentsPerMerge) {
                break;
            }
        }
        return run.length >= minimumSegmentsPerMerge ? run : [];
    }

    /** The oldest segments whose claims were all made before the given time; never the last one of the log. */
    findExpired(before: number): readonly SegmentSummary[] {
        const expired: SegmentSummary[] = [];
        for (const segment of this.segments.slice(0, -1)) {
            if (segment.newestClaimedAt >= before || expired.length === segmentsPerMerge) {
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

/** Compressing entries together never makes them larger than apart, but for a few bytes. */
function fitsTogether(run: readonly SegmentSummary[], segment: SegmentSummary): boolean {
    const bytes = run.reduce((sum, each) => sum + each.storedBytes, segment.storedBytes);
    return bytes <= maximumSegmentBytes;
}
