/**
 * Blocks parts of prompts that crash backend servers, on all routers. Routers share their evidence through the platform's
 * store, which every router watches anyway, and which outlives a restart of all of them. A router that has itself seen an
 * attempt with the part break off decides, applies the block at once and stores it.
 */
import { monotonicNow } from "../../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../../common/failure-boundary.js";
import type { Logger } from "../../../common/logger.js";
import type { Metrics } from "../../../common/metrics.js";
import type { KnownBlock } from "../../../domain/gateway/fleet-knowledge.js";
import type { ItemChange, StoredItem } from "../../../domain/gateway/metadata-store.js";
import { formatServerStart, type ServerEntry } from "../../../domain/gateway/server-entry.js";
import { comparePositions, type StorePosition } from "../../../domain/gateway/store-position.js";
import { ReadContext } from "../store-observer.js";
import { BlockedParts } from "./blocked-parts.js";
import { standsOut } from "./crash-attribution.js";
import { EvidenceLog } from "./evidence-log.js";
import type { LeasedRecord } from "./leased-record-writer.js";
import { RecentCounts } from "./recent-counts.js";
import { RecentNames } from "./recent-names.js";
import {
    createEvidenceKey,
    decodeBlockedPart,
    decodeEvidence,
    encodeBlock,
    encodeEvidence,
    encodeRestoredBlock,
} from "./store-records.js";
import type { CrashAttribution, CrashCause, CrashEvidence } from "./types.js";

/**
 * Requests that ran beside the one at fault may be seen first, by another router. The evidence of a crash counts once that of
 * all routers has had time to arrive through the store.
 */
const settlingMilliseconds = 800;
const maximumLoggedParts = 32;
const survivedAttempts = "survived";
const brokenAttempts = "broken";

export interface PromptQuarantineDependencies {
    /** Identifies this process among all processes of all routers. */
    readonly witness: string;
    readonly evidencePrefix: string;
    readonly blockPrefix: string;
    readonly attribution: CrashAttribution;
    readonly writeEvidence: (record: LeasedRecord) => void;
    readonly writeBlock: (record: LeasedRecord) => void;
    readonly configurationVersion: () => number;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface PromptBlock {
    readonly part: string;
    readonly remainingMilliseconds: number;
}

export class PromptQuarantine {
    private readonly successes = new RecentCounts();
    /** Attempts of any prompt, by how they ended. */
    private readonly attempts = new RecentCounts();
    private readonly evidence = new EvidenceLog();
    private readonly blocked = new BlockedParts();
    /** Parts of attempts that broke off at a crash here; a part is removed when its block ends. */
    private readonly witnessedParts = new RecentNames<true>();
    /** Parts of evidence that this router has written to the store. */
    private readonly sharedParts = new RecentNames<true>();
    /** Keys of that evidence. */
    private readonly writtenEvidence = new RecentNames<true>();
    private lostEvidence: [string, CrashEvidence][] = [];
    /** Parts whose blocks have been lifted. */
    private readonly liftedParts = new RecentNames<true>();
    /** Positions of keys that a copy of the store holds for blocks that have been lifted, by part. */
    private readonly ignoredBlocks = new Map<string, StorePosition>();

    private readonly boundary: FailureBoundary;

    constructor(private readonly dependencies: PromptQuarantineDependencies) {
        this.boundary = dependencies.failures.createBoundary("prompt quarantine");
    }

    /** The first of the parts that is blocked; undefined if none is. */
    findBlock(parts: readonly string[]): PromptBlock | undefined {
        const part = parts.find(id => this.blocked.remainingMilliseconds(id) > 0);
        return part === undefined
            ? undefined
            : { part, remainingMilliseconds: this.blocked.remainingMilliseconds(part) };
    }

    /**
     * Whether one of the parts may have caused the crashes that this router has seen its requests meet, rather than have
     * been there by chance.
     */
    isSuspected(parts: readonly string[]): boolean {
        const { crashShare } = this;
        return this.evidence.countCrashes(this.dependencies.witness, parts).some((crashes, index) =>
            crashes > 0 && standsOut(crashes, this.successes.count(parts[index]!), crashShare)
        );
    }

    /** Records an attempt whose server survived it. */
    recordSuccess(parts: readonly string[]): void {
        this.attempts.record(survivedAttempts);
        parts.forEach(part => this.successes.record(part));
    }

    /** Records an attempt at whose end its server had crashed, and whether it had only begun. */
    recordSuspect(server: ServerEntry, parts: readonly string[], early: boolean): void {
        const { dependencies } = this;
        this.attempts.record(brokenAttempts);
        const key = createEvidenceKey(dependencies.evidencePrefix);
        const evidence: CrashEvidence = {
            serverStart: formatServerStart(server),
            witness: dependencies.witness,
            parts: parts.map(id => ({ id, successes: this.successes.count(id) })),
            early,
            learntAt: monotonicNow(),
        };
        if (this.evidence.isReported(evidence)) {
            return;
        }
        dependencies.metrics.increment("pomelostall.gateway.crash_suspects");
        parts.forEach(part => this.witnessedParts.set(part, true));
        this.evidence.add(key, evidence);
        if (this.isWorthSharing(parts)) {
            parts.forEach(part => this.sharedParts.set(part, true));
            this.writtenEvidence.set(key, true);
            dependencies.writeEvidence({ key, value: encodeEvidence(evidence) });
        }
        this.decideWithNewEvidence();
    }

    /**
     * Parts that mostly succeed here are not worth a write, unless other routers know of earlier crashes: their counts of
     * successes come with the evidence.
     */
    private isWorthSharing(parts: readonly string[]): boolean {
        return this.isSuspected(parts) || parts.some(part => this.sharedParts.has(part));
    }

    /** Share of this router's attempts that ended with a crash of their server. */
    private get crashShare(): number {
        const broken = this.attempts.count(brokenAttempts);
        return broken / Math.max(1, broken + this.attempts.count(survivedAttempts));
    }

    /** Receives all items of the store; other keys are ignored. */
    replaceAll(items: readonly StoredItem[], context: ReadContext): void {
        const { evidencePrefix, blockPrefix, witness } = this.dependencies;
        const blocks = items.filter(({ key }) => key.startsWith(blockPrefix));
        const evidence = items.filter(({ key }) => key.startsWith(evidencePrefix));
        if (context === ReadContext.newEra) {
            this.ignoreLifted(blocks);
        }
        const storedParts = new Set(blocks.map(item => this.confirmBlock(item)).filter(part => part !== undefined));
        if (context === ReadContext.newEra) {
            this.blocked.keepMissing(storedParts);
            const keys = new Set(evidence.map(({ key }) => key));
            this.lostEvidence = this.evidence.missingIn(keys, witness).filter(([key]) => this.writtenEvidence.has(key));
        }
        else {
            this.blocked.retain(storedParts).forEach(part => this.handleEnd(part));
        }
        [...evidence].sort((left, right) => comparePositions(left.position, right.position))
            .forEach(({ key, value }) => this.addEvidence(key, value));
        this.decideWithNewEvidence();
    }

    /** Blocks that the store does not hold, as records with what is left of their time. */
    get unstoredBlocks(): LeasedRecord[] {
        const { blockPrefix, witness } = this.dependencies;
        return this.blocked.unstored.map(({ part, remainingMilliseconds }) => ({
            key: blockPrefix + part,
            value: encodeRestoredBlock(witness),
            leaseMilliseconds: Math.floor(remainingMilliseconds),
        }));
    }

    /** Blocks that the store does not hold. */
    get knownBlocks(): KnownBlock[] {
        return this.blocked.unstored.map(({ part, remainingMilliseconds }) => ({
            part,
            milliseconds: remainingMilliseconds,
        }));
    }

    /** Blocks the parts that another router blocks, whose keys the store does not hold. */
    learnBlocks(blocks: readonly KnownBlock[]): void {
        for (const { part, milliseconds } of blocks) {
            if (this.blocked.remainingMilliseconds(part) === 0 && !this.blocked.isFull) {
                this.blocked.begin(part, milliseconds);
            }
        }
    }

    /** Evidence of this router that the store has lost with its last return from a copy; empty after the first call. */
    takeLostEvidence(): LeasedRecord[] {
        return this.lostEvidence.splice(0).map(([key, evidence]) => ({ key, value: encodeEvidence(evidence) }));
    }

    /** A copy holds again the keys of blocks that were lifted since. They count if they change. */
    private ignoreLifted(blocks: readonly StoredItem[]): void {
        const { blockPrefix, logger } = this.dependencies;
        for (const { key, position } of blocks) {
            const part = decodeBlockedPart(key, blockPrefix);
            if (part !== undefined && this.liftedParts.has(part)) {
                this.ignoredBlocks.set(part, position);
                logger.warn("block was lifted before the store came back from a copy; delete its key once more", {
                    key,
                });
            }
        }
    }

    /** Returns whether the key is one of the quarantine's. */
    applyChange(change: ItemChange): boolean {
        const { key, value } = change;
        const { evidencePrefix, blockPrefix } = this.dependencies;
        if (key.startsWith(evidencePrefix)) {
            this.applyEvidence(key, value);
            return true;
        }
        if (key.startsWith(blockPrefix)) {
            this.applyBlock(change);
            return true;
        }
        return false;
    }

    private applyEvidence(key: string, value: Buffer | undefined): void {
        if (value === undefined) {
            this.evidence.remove(key);
        }
        else if (this.addEvidence(key, value)) {
            this.decideWithNewEvidence();
        }
    }

    private applyBlock({ key, value, position }: ItemChange): void {
        if (value !== undefined) {
            this.confirmBlock({ key, position });
            return;
        }
        const part = decodeBlockedPart(key, this.dependencies.blockPrefix);
        if (part !== undefined) {
            this.blocked.remove(part);
            this.handleEnd(part);
        }
    }

    /** From now on, the part needs another crash here before this router blocks it again. */
    private handleEnd(part: string): void {
        this.witnessedParts.delete(part);
        this.liftedParts.set(part, true);
        this.dependencies.logger.info("prompt part no longer blocked", { part });
    }

    /** Returns whether the value is new evidence. */
    private addEvidence(key: string, value: Buffer): boolean {
        const evidence = decodeEvidence(value, monotonicNow());
        if (evidence === undefined) {
            this.dependencies.logger.warn("crash evidence cannot be decoded; ignored", { key, bytes: value.length });
        }
        return evidence !== undefined && this.evidence.add(key, evidence);
    }

    /** Returns the part that the key names; undefined if it names none. */
    private confirmBlock({ key, position }: Pick<StoredItem, "key" | "position">): string | undefined {
        const { blockPrefix, logger } = this.dependencies;
        const part = decodeBlockedPart(key, blockPrefix);
        if (part === undefined) {
            logger.warn("key of a blocked prompt part cannot be decoded; ignored", { key });
            return undefined;
        }
        const ignored = this.ignoredBlocks.get(part);
        if (ignored !== undefined && comparePositions(ignored, position) === 0) {
            return part;
        }
        this.ignoredBlocks.delete(part);
        this.liftedParts.delete(part);
        const isKnown = this.blocked.remainingMilliseconds(part) > 0;
        if (!this.blocked.confirm(part)) {
            logger.warn("key of a blocked prompt part ignored, since there are too many", { key });
        }
        else if (!isKnown) {
            logger.info("prompt part blocked by the store", { part });
        }
        return part;
    }

    /** Decides now, and once more when the evidence that has just arrived may count. */
    private decideWithNewEvidence(): void {
        this.decide();
        setTimeout(this.boundary.wrap(() => this.decide()), settlingMilliseconds).unref();
    }

    private decide(): void {
        if (this.witnessedParts.size === 0) {
            return;
        }
        const { attribution, witness } = this.dependencies;
        const own = { witness, count: (part: string) => this.successes.count(part), crashShare: this.crashShare };
        attribution.findCauses(this.evidence.ofCrashesBefore(monotonicNow() - settlingMilliseconds), own)
            .filter(({ part }) => this.witnessedParts.has(part) && this.blocked.remainingMilliseconds(part) === 0)
            .forEach(cause => this.block(cause));
    }

    private block(cause: CrashCause): void {
        const { dependencies } = this;
        const { part, crashes, successes } = cause;
        this.blocked.begin(part);
        dependencies.writeBlock({
            key: dependencies.blockPrefix + part,
            value: encodeBlock(cause, dependencies.witness),
        });
        dependencies.metrics.increment("pomelostall.gateway.prompt_part_blocks");
        dependencies.logger.decision({
            kind: "block-prompt-part",
            chosen: part,
            over: [...new Set(this.evidence.all.flatMap(({ parts }) => parts.map(({ id }) => id)))]
                .filter(id => id !== part)
                .slice(0, maximumLoggedParts),
            reason: "backend servers crashed under requests with this part",
            configurationVersion: dependencies.configurationVersion(),
            fields: { crashes, successes, evidence: this.evidence.all.length },
        });
    }
}
