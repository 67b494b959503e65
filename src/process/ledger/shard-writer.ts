/**
 * Writes one shard: gathers the operations that wait while a write is under way into the next batch, paces the writes,
 * and repeats a write whose answer was lost until the log shows what became of it. Any number of routers may write a
 * shard at once; the compare-and-swap of the log decides.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import { TokenBucket } from "../../common/token-bucket.js";
import type { LedgerResult } from "../../domain/booking-ledger.js";
import { InternalError, LedgerFullError, PlatformUnavailableError, PomelostallError } from "../../errors/index.js";
import {
    fleetWritesPerSecond,
    headMovedDelayMilliseconds,
    maximumBatchEntries,
    maximumRecordsPerShard,
    maximumRetryDelayMilliseconds,
    outcomeDelayMilliseconds,
    retryDelayMilliseconds,
    shardTotal,
    shardWriteBurst,
} from "./constants.js";
import { PendingOperation } from "./pending-operation.js";
import { SegmentIndex } from "./segment-index.js";
import type { LogPosition, ShardLog } from "./shard-log.js";
import { type OperationPlan, type ShardOperation, ShardState } from "./shard-state.js";

/** A plan with the place in the log that it was made for; it may be appended only there. */
interface PlacedPlan {
    readonly plan: OperationPlan;
    readonly position: LogPosition;
}

export class ShardWriter {
    private shardState = new ShardState();
    private segmentIndex = new SegmentIndex();
    private position: LogPosition | undefined;
    private queue: PendingOperation[] = [];
    private running = false;
    private gathering: AbortController | undefined;
    private stopped = false;
    private lastUse = monotonicNow();
    private readonly pace = new TokenBucket(fleetWritesPerSecond / shardTotal, shardWriteBurst);

    constructor(readonly shard: number, readonly log: ShardLog, private readonly metrics: Metrics) {}

    /** Time since the last operation; 0 while one waits. */
    get idleMilliseconds(): number {
        return this.running ? 0 : monotonicNow() - this.lastUse;
    }

    /** The records, as far as this router has read the log. */
    get state(): ShardState {
        return this.shardState;
    }

    get segments(): SegmentIndex {
        return this.segmentIndex;
    }

    /** Reads what other routers appended. State and position always change together. */
    async refresh(): Promise<void> {
        const before = this.position;
        const { position, segments } = await this.log.read(before);
        if (this.position !== before) {
            return this.refresh();
        }
        for (const stored of segments) {
            this.shardState.apply(stored.segment);
            this.segmentIndex.add(stored);
        }
        this.position = position;
    }

    /** Forgets what was read, so that the next operation reads the whole log. */
    reload(): void {
        this.shardState = new ShardState();
        this.segmentIndex = new SegmentIndex();
        this.position = undefined;
    }

    /**
     * Resolves once the operation's effect is durable. Rejects after the timeout; the operation may still take effect.
     */
    submit(operation: ShardOperation, timeoutMilliseconds?: number): Promise<LedgerResult> {
        this.lastUse = monotonicNow();
        const pending = new PendingOperation(operation, timeoutMilliseconds);
        if (this.stopped) {
            pending.reject(stopping(false));
        }
        else {
            this.queue.push(pending);
            if (operation.type !== "outcome") {
                this.gathering?.abort();
            }
            void this.run();
        }
        return pending.result;
    }

    /** Waits until the pace allows one more write. */
    async takeTurn(): Promise<void> {
        for (let wait = this.pace.tryTake(); wait > 0; wait = this.pace.tryTake()) {
            await delay(wait);
        }
    }

    /** Ends retries; operations that wait are rejected. */
    stop(): void {
        this.stopped = true;
        this.gathering?.abort();
        this.queue.splice(0).forEach(pending => pending.reject(stopping(false)));
    }

    private async run(): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        while (this.queue.length > 0 && !this.stopped) {
            await this.gatherOutcomes();
            const mayWrite = this.queue.some(({ operation }) => operation.type !== "lookup");
            if (mayWrite) {
                await this.takeTurn();
            }
            // Operations that were abandoned before a write of theirs began are dropped.
            const batch = this.queue.splice(0, maximumBatchEntries).filter(pending => !pending.abandoned);
            if (batch.length > 0) {
                await this.writeBatch(batch);
            }
            this.lastUse = monotonicNow();
        }
        this.running = false;
    }

    /** Nobody waits for an outcome, so that outcomes alone wait a little for a claim to share a write with. */
    private async gatherOutcomes(): Promise<void> {
        if (this.queue.every(({ operation }) => operation.type === "outcome")) {
            this.gathering = new AbortController();
            await delay(outcomeDelayMilliseconds, this.gathering.signal);
            this.gathering = undefined;
        }
    }

    private async writeBatch(batch: readonly PendingOperation[]): Promise<void> {
        let mayBeDurable = false;
        let retryDelay = retryDelayMilliseconds;
        while (!this.stopped) {
            try {
                if (!mayBeDurable && batch.every(pending => pending.abandoned)) {
                    return;
                }
                if (await this.tryBatch(batch)) {
                    return;
                }
                await delay(headMovedDelayMilliseconds);
            }
            catch (error) {
                if (!(error instanceof PlatformUnavailableError)) {
                    this.rejectBatch(batch, error);
                    return;
                }
                mayBeDurable ||= error.mayHaveTakenEffect;
                await delay(retryDelay);
                retryDelay = Math.min(2 * retryDelay, maximumRetryDelayMilliseconds);
            }
        }
        batch.forEach(pending => pending.reject(stopping(mayBeDurable)));
    }

    /** Returns false when the head had moved: by another router, or by an earlier try of this batch. */
    private async tryBatch(batch: readonly PendingOperation[]): Promise<boolean> {
        const { plan, position } = await this.planCurrent(batch);
        if (plan.entries.length === 0 || await this.append(plan, position)) {
            this.complete(batch, plan);
            return true;
        }
        this.metrics.increment("pomelostall.ledger.head_moved");
        await this.refresh();
        return false;
    }

    /** A plan that appends is checked by the compare-and-swap; one that only reads needs a current state. */
    private async planCurrent(batch: readonly PendingOperation[]): Promise<PlacedPlan> {
        if (this.position === undefined) {
            await this.refresh();
        }
        const first = this.planNow(batch);
        if (first.plan.entries.length > 0) {
            return first;
        }
        await this.refresh();
        return this.planNow(batch);
    }

    private planNow(batch: readonly PendingOperation[]): PlacedPlan {
        const { position } = this;
        if (position === undefined) {
            throw new PlatformUnavailableError(`Shard ${this.shard} is being read again.`, false);
        }
        const plan = this.shardState.plan(batch.map(pending => pending.operation));
        const claims = plan.entries.filter(entry => entry.type === "claim").length;
        if (claims > 0 && this.shardState.recordTotal + claims > maximumRecordsPerShard) {
            throw new LedgerFullError(this.shard);
        }
        return { plan, position };
    }

    private async append(plan: OperationPlan, position: LogPosition): Promise<boolean> {
        const appended = await this.log.append(position, plan.entries);
        if (appended === undefined) {
            return false;
        }
        // A reload in the meantime has dropped the state that the entries build on.
        if (this.position === position) {
            this.shardState.apply(appended.stored.segment);
            this.segmentIndex.add(appended.stored);
            this.position = appended.position;
        }
        this.metrics.increment("pomelostall.ledger.batches");
        this.metrics.increment("pomelostall.ledger.entries", plan.entries.length);
        return true;
    }

    /** A claim whose caller stopped waiting stays; only the router that made it knows that it will not make the call. */
    private complete(batch: readonly PendingOperation[], plan: OperationPlan): void {
        batch.forEach((pending, index) => pending.complete(plan.results[index]!));
    }

    private rejectBatch(batch: readonly PendingOperation[], error: unknown): void {
        const typed = error instanceof PomelostallError ? error : new InternalError("A ledger write failed.", error);
        batch.forEach(pending => pending.reject(typed));
        this.reload();
    }
}

function stopping(mayHaveTakenEffect: boolean): PlatformUnavailableError {
    return new PlatformUnavailableError("The ledger is stopping.", mayHaveTakenEffect);
}
