/** Limits the length of a shard's log: merges small segments, and deletes segments after the retention period. */
import { keyRetentionMilliseconds } from "./constants.js";
import type { SegmentSummary } from "./segment-index.js";
import type { StoredSegment } from "./shard-log.js";
import type { ShardWriter } from "./shard-writer.js";

/** Wall clock in milliseconds. */
export type WallClock = () => number;

export class ShardMaintenance {
    constructor(private readonly writer: ShardWriter, private readonly wallClock: WallClock) {}

    /**
     * Deletes expired segments, then merges small ones. Rejects with a PlatformUnavailableError when the platform
     * fails.
     */
    async maintain(): Promise<void> {
        await this.writer.refresh();
        await this.deleteExpired();
        await this.mergeSmallSegments();
    }

    private async mergeSmallSegments(): Promise<void> {
        for (let run = this.writer.segments.findMergeRun(); run.length > 0;) {
            const stored = await this.readRun(run);
            await this.writer.awaitWritePermit();
            const merged = stored === undefined ? undefined : await this.writer.log.merge(stored);
            if (merged === undefined) {
                // Another router has merged or deleted some of the segments.
                this.writer.reload();
                return;
            }
            this.writer.segments.replace(run, merged);
            run = this.writer.segments.findMergeRun();
        }
    }

    private async deleteExpired(): Promise<void> {
        const expired = this.writer.segments.findExpired(this.wallClock() - keyRetentionMilliseconds);
        if (expired.length === 0) {
            return;
        }
        const stored = await this.readRun(expired);
        if (stored === undefined) {
            this.writer.reload();
            return;
        }
        await this.carryForwardUnresolved(stored);
        await this.writer.awaitWritePermit();
        if (!await this.writer.log.delete(stored)) {
            this.writer.reload();
            return;
        }
        stored.forEach(each => this.writer.state.removeRecordsOf(each.segment));
        this.writer.segments.replace(expired, undefined);
    }

    /** Appends the claims of unresolved bookings again: they are retained until an operator settles them. */
    private async carryForwardUnresolved(stored: readonly StoredSegment[]): Promise<void> {
        const records = stored.flatMap(each => this.writer.state.unresolvedRecordsIn(each.segment));
        await Promise.all(
            records.map(({ claim }) => this.writer.submit({ type: "carry", key: claim.key, claimId: claim.claimId })),
        );
    }

    /** Reads the segments' entries; resolves to undefined if the stored segments no longer match the summaries. */
    private async readRun(run: readonly SegmentSummary[]): Promise<readonly StoredSegment[] | undefined> {
        const stored = await this.writer.log.readStored(run[0]!.first - 1, run.length);
        const matches = stored.length === run.length
            && stored.every((each, index) => each.segment.last === run[index]!.last);
        return matches ? stored : undefined;
    }
}
