/**
 * Writes one shard. Operations that arrive during a write form the next batch. Writes are rate-limited, and a write
 * whose response was lost is repeated until the log shows whether it took effect. Several routers may write a shard at
 * the same time; the log's compare-and-swap serializes their appends.
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

/** A plan with the log position for which it was made; its entries may be appended only at that position. */
interface PositionedPlan {
    readonly plan: OperationPlan;
    readonly position: LogPosition;
}

export class ShardWriter {
    private shardState = new ShardState();
    private segmentIndex = new SegmentIndex();
    private position: LogPosition | undefined;
    private queue: PendingOperation[] = [];
    private isProcessing = false;
    private outcomeDelayCancellation: AbortController | undefined;
    private stopped = false;
    private lastUse = monotonicNow();
    private readonly writeRateLimiter = new TokenBucket(fleetWritesPerSecond / shardTotal, shardWriteBurst);

    constructor(readonly shard: number, readonly log: ShardLog, private readonly metrics: Metrics) {}

    /** Time since the last operation; 0 while operations are pending. */
    get idleMilliseconds(): number {
        return this.isProcessing ? 0 : monotonicNow() - this.lastUse;
    }

    /** The records, up to the position to which this router has read the log. */
    get state(): ShardState {
        return this.shardState;
    }

    get segments(): SegmentIndex {
        return this.segmentIndex;
    }

    /** Reads and applies what other routers have appended. State and position always change together. */
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

    /** Discards the state, so that the next operation reads the whole log. */
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
            pending.reject(createStoppingError(false));
        }
        else {
            this.queue.push(pending);
            if (operation.type !== "outcome") {
                this.outcomeDelayCancellation?.abort();
            }
            void this.processQueue();
        }
        return pending.result;
    }

    /** Waits until the rate limit permits one more write. */
    async awaitWritePermit(): Promise<void> {
        for (let wait = this.writeRateLimiter.tryTake(); wait > 0; wait = this.writeRateLimiter.tryTake()) {
            await delay(wait);
        }
    }

    /** Ends retries and rejects queued operations. */
    stop(): void {
        this.stopped = true;
        this.outcomeDelayCancellation?.abort();
        this.queue.splice(0).forEach(pending => pending.reject(createStoppingError(false)));
    }

    private async processQueue(): Promise<void> {
        if (this.isProcessing) {
            return;
        }
        this.isProcessing = true;
        while (this.queue.length > 0 && !this.stopped) {
            await this.delayOutcomeOnlyBatch();
            const mayWrite = this.queue.some(({ operation }) => operation.type !== "lookup");
            if (mayWrite) {
                await this.awaitWritePermit();
            }
            // Operations that timed out before their first write are dropped.
            const batch = this.queue.splice(0, maximumBatchEntries).filter(pending => !pending.abandoned);
            if (batch.length > 0) {
                await this.writeBatch(batch);
            }
            this.lastUse = monotonicNow();
        }
        this.isProcessing = false;
    }

    /** Delays a batch of outcomes alone, for which no caller waits, so that a claim can share its write. */
    private async delayOutcomeOnlyBatch(): Promise<void> {
        if (this.queue.every(({ operation }) => operation.type === "outcome")) {
            this.outcomeDelayCancellation = new AbortController();
            await delay(outcomeDelayMilliseconds, this.outcomeDelayCancellation.signal);
            this.outcomeDelayCancellation = undefined;
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
                if (await this.tryWriteBatch(batch)) {
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
        batch.forEach(pending => pending.reject(createStoppingError(mayBeDurable)));
    }

    /** Resolves to false if the head was changed by another router or by an earlier attempt at this batch. */
    private async tryWriteBatch(batch: readonly PendingOperation[]): Promise<boolean> {
        const { plan, position } = await this.planAgainstCurrentState(batch);
        if (plan.entries.length === 0 || await this.append(plan, position)) {
            this.complete(batch, plan);
            return true;
        }
        this.metrics.increment("pomelostall.ledger.head_moved");
        await this.refresh();
        return false;
    }

    /**
     * The compare-and-swap validates a plan with entries. A plan without entries is made again on a refreshed state.
     */
    private async planAgainstCurrentState(batch: readonly PendingOperation[]): Promise<PositionedPlan> {
        if (this.position === undefined) {
            await this.refresh();
        }
        const optimistic = this.planAtPosition(batch);
        if (optimistic.plan.entries.length > 0) {
            return optimistic;
        }
        await this.refresh();
        return this.planAtPosition(batch);
    }

    private planAtPosition(batch: readonly PendingOperation[]): PositionedPlan {
        const { position } = this;
        if (position === undefined) {
            throw new PlatformUnavailableError(`The records of ledger shard ${this.shard} are being reloaded.`, false);
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
        // If the state was reloaded during the append, the entries can't be applied to it.
        if (this.position === position) {
            this.shardState.apply(appended.stored.segment);
            this.segmentIndex.add(appended.stored);
            this.position = appended.position;
        }
        this.metrics.increment("pomelostall.ledger.batches");
        this.metrics.increment("pomelostall.ledger.entries", plan.entries.length);
        return true;
    }

    /**
     * Claims of callers that timed out also stay: only the router that made a claim knows that it won't make the call.
     */
    private complete(batch: readonly PendingOperation[], plan: OperationPlan): void {
        batch.forEach((pending, index) => pending.complete(plan.results[index]!));
    }

    private rejectBatch(batch: readonly PendingOperation[], error: unknown): void {
        const rejection = error instanceof PomelostallError
            ? error
            : new InternalError("A write to the booking ledger failed.", error);
        batch.forEach(pending => pending.reject(rejection));
        this.reload();
    }
}

function createStoppingError(mayHaveTakenEffect: boolean): PlatformUnavailableError {
    return new PlatformUnavailableError("The booking ledger is stopping.", mayHaveTakenEffect);
}
