/** The crashes of the last minutes as far as this router knows them, by the store key of each piece of evidence. */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../../common/clock.js";
import type { CrashEvidence } from "./types.js";

/** Also the longest lease that the platform's store grants. */
export const evidenceMilliseconds = 600_000;
/** Bounds memory and the time of a decision; the oldest evidence is dropped. */
const maximumEntries = 500;

export class EvidenceLog {
    private readonly entries = new LRUCache<string, CrashEvidence>({ max: maximumEntries });

    /** All evidence of the last minutes, oldest first. */
    get all(): CrashEvidence[] {
        const oldest = monotonicNow() - evidenceMilliseconds;
        return [...this.entries.rvalues()].filter(entry => entry !== undefined)
            .filter(({ learntAt }) => learntAt > oldest);
    }

    /** All evidence of the crashes that this router learnt of before the given monotonic time, oldest first. */
    ofCrashesBefore(time: number): CrashEvidence[] {
        const { all } = this;
        const earlierCrashes = new Set(all.filter(({ learntAt }) => learntAt <= time).map(entry => entry.serverStart));
        return all.filter(({ serverStart }) => earlierCrashes.has(serverStart));
    }

    /** Returns whether the evidence is new; evidence of this router comes back from the store. */
    add(key: string, evidence: CrashEvidence): boolean {
        if (this.entries.has(key)) {
            return false;
        }
        this.entries.set(key, evidence);
        return true;
    }

    /** Whether the witness has already reported all of these parts for this crash. */
    isReported({ serverStart, witness, parts }: CrashEvidence): boolean {
        const reported = new Set(
            this.all.filter(entry => entry.serverStart === serverStart && entry.witness === witness)
                .flatMap(entry => entry.parts.map(({ id }) => id)),
        );
        return parts.every(({ id }) => reported.has(id));
    }

    /** Number of crashes that the witness has seen under requests with the part. */
    countCrashes(witness: string, part: string): number {
        return new Set(
            this.all.filter(entry => entry.witness === witness && entry.parts.some(({ id }) => id === part))
                .map(({ serverStart }) => serverStart),
        ).size;
    }

    remove(key: string): void {
        this.entries.delete(key);
    }
}
