/**
 * Writes the quarantine's records again after the platform's store has come back from a copy without them. Every router holds
 * all blocks, so a few of them write at once, and the others only what is still missing some time later.
 */
import { delay } from "../../../common/clock.js";
import type { RandomSource } from "../../../common/random.js";
import type { LeasedRecord, LeasedRecordWriter } from "./leased-record-writer.js";
import type { PromptQuarantine } from "./prompt-quarantine.js";

/** Number of routers of a fleet that write the blocks at once, on average. */
const earlyWriters = 4;
/** Longer than it takes until a write has been read by every router. */
const lateMilliseconds = 1_500;

export interface QuarantineRestorationDependencies {
    readonly quarantine: Pick<PromptQuarantine, "unstoredBlocks" | "takeLostEvidence">;
    readonly blockWriter: Pick<LeasedRecordWriter, "write" | "waitUntilWritten">;
    readonly evidenceWriter: Pick<LeasedRecordWriter, "write" | "waitUntilWritten">;
    readonly routerCount: () => number;
    readonly random: RandomSource;
}

export class QuarantineRestoration {
    constructor(private readonly dependencies: QuarantineRestorationDependencies) {}

    /** Resolves to the number of records that have been written again. */
    async restore(signal: AbortSignal): Promise<number> {
        const { quarantine, blockWriter, evidenceWriter, routerCount, random } = this.dependencies;
        const evidence = quarantine.takeLostEvidence();
        evidence.forEach(record => evidenceWriter.write(record));
        let blocks: LeasedRecord[] = [];
        if (quarantine.unstoredBlocks.length > 0) {
            const isEarly = random.next() < earlyWriters / routerCount();
            await delay(isEarly ? 0 : lateMilliseconds * (1 + random.next()), signal);
            blocks = signal.aborted ? [] : quarantine.unstoredBlocks;
            blocks.forEach(record => blockWriter.write(record));
        }
        await Promise.all([evidenceWriter.waitUntilWritten(), blockWriter.waitUntilWritten()]);
        return evidence.length + blocks.length;
    }
}
