/** Keeps a shard's log short: merges small segments, and deletes segments whose keys are old enough to be forgotten. */
import { retentionMilliseconds } from "./constants.js";
import type { SegmentSummary } from "./segment-index.js";
import type { StoredSegment } from "./shard-log.js";
import type { ShardWriter } from "./shard-writer.js";

/** Wall clock in milliseconds. */
export type WallClock = () => number;

export class ShardMaintenance {
    constructor(private readonly writer: ShardWriter, private readonly wallClock: WallClock) {}

    /** Does one round. Rejects with a PlatformUnavailableError when the platform fails. */
    async run(): Promise<void> {
        await this.writer.refresh();
        await this.forgetOld();
        await this.mergeSmall();
    }

    private async mergeSmall(): Promise<void> {
        for (let run = this.writer.segments.findMergeRun(); run.length > 0;) {
            const stored = await this.readRun(run);
            await this.writer.takeTurn();
            const merged = stored === undefined ? undefined : await this.writer.log.merge(stored);
            if (merged === undefined) {
                // Another router merged or deleted some of them.
                this.writer.reload();
                return;
            }
            this.writer.segments.replace(run, merged);
            run = this.writer.segments.findMergeRun();
        }
    }

    private async forgetOld(): Promise<void> {
        const expired = this.writer.segments.findExpired(this.wallClock() - retentionMilliseconds);
        if (expired.length === 0) {
            return;
        }
        const stored = await this.readRun(expired);
        if (stored === undefined) {
            this.writer.reload();
            return;
        }
        await this.carryUnresolved(stored);
        await this.writer.takeTurn();
        if (!await this.writer.log.delete(stored)) {
            this.writer.reload();
            return;
        }
        stored.forEach(each => this.writer.state.forget(each.segment));
        this.writer.segments.replace(expired, undefined);
    }

    /** Bookings without a final outcome are kept until an operator settles them. */
    private async carryUnresolved(stored: readonly StoredSegment[]): Promise<void> {
        const records = stored.flatMap(each => this.writer.state.unresolvedOf(each.segment));
        await Promise.all(
            records.map(({ claim }) => this.writer.submit({ type: "carry", key: claim.key, claimId: claim.claimId })),
        );
    }

    private async readRun(run: readonly SegmentSummary[]): Promise<readonly StoredSegment[] | undefined> {
        const stored = await this.writer.log.readStored(run[0]!.first - 1, run.length);
        const matches = stored.length === run.length
            && stored.every((each, index) => each.segment.last === run[index]!.last);
        return matches ? stored : undefined;
    }
}
