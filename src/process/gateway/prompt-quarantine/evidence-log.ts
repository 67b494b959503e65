/** The crashes of the last minutes as far as this router knows them, by the store key of each piece of evidence. */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../../common/clock.js";
import { type CrashEvidence, maximumPromptParts } from "./types.js";

/** Also the longest lease that the platform's store grants. */
export const evidenceMilliseconds = 600_000;
/** These bound memory and the time of a decision; the oldest evidence is dropped, not a part of it. */
const maximumEntries = 500;
const maximumPartsOfAll = 3 * maximumPromptParts;

interface LoggedEvidence {
    readonly evidence: CrashEvidence;
    readonly partIds: ReadonlySet<string>;
}

export class EvidenceLog {
    private readonly entries = new LRUCache<string, LoggedEvidence>({
        max: maximumEntries,
        maxSize: maximumPartsOfAll,
        sizeCalculation: ({ partIds }) => 1 + partIds.size,
    });

    /** All evidence of the last minutes, oldest first. */
    get all(): CrashEvidence[] {
        return this.valid.map(({ evidence }) => evidence);
    }

    private get valid(): LoggedEvidence[] {
        const oldest = monotonicNow() - evidenceMilliseconds;
        return [...this.entries.rvalues()].filter(entry => entry !== undefined)
            .filter(({ evidence }) => evidence.learntAt > oldest);
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
        this.entries.set(key, { evidence, partIds: new Set(evidence.parts.map(({ id }) => id)) });
        return true;
    }

    /** Whether the witness has already reported all of these parts for this crash, and as early. */
    isReported({ serverStart, witness, parts, early }: CrashEvidence): boolean {
        const reported = this.ofWitness(witness)
            .filter(({ evidence }) => evidence.serverStart === serverStart && (evidence.early || !early));
        return parts.every(({ id }) => reported.some(({ partIds }) => partIds.has(id)));
    }

    /** Number of crashes that the witness has seen under requests with each of the parts. */
    countCrashes(witness: string, parts: readonly string[]): number[] {
        const entries = this.ofWitness(witness);
        const serverStarts = (part: string) =>
            entries.filter(({ partIds }) => partIds.has(part)).map(({ evidence }) => evidence.serverStart);
        return parts.map(part => new Set(serverStarts(part)).size);
    }

    private ofWitness(witness: string): LoggedEvidence[] {
        return this.valid.filter(({ evidence }) => evidence.witness === witness);
    }

    /** Evidence of the witness whose keys are not among the given ones, by its key. */
    missingIn(keys: ReadonlySet<string>, witness: string): [string, CrashEvidence][] {
        const own = new Set(this.ofWitness(witness));
        return [...this.entries.entries()]
            .filter(([key, entry]) => own.has(entry) && !keys.has(key))
            .map(([key, { evidence }]) => [key, evidence]);
    }

    remove(key: string): void {
        this.entries.delete(key);
    }
}
