/**
 * The booking ledger of one router. Rendezvous hashing over the live routers picks who usually writes a shard; other
 * routers hand it their operations, and write themselves when it does not answer. That is only a matter of cost: the
 * compare-and-swap of each shard's log makes any number of writers right.
 */
import { monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { rankByRendezvous } from "../../common/rendezvous.js";
import type {
    BookingLedger,
    BookingRecord,
    LedgerOperation,
    LedgerPeers,
    LedgerResult,
} from "../../domain/booking-ledger.js";
import type { KeyValueService } from "../../domain/platform.js";
import { idleShardMilliseconds, maintenanceMilliseconds, shardTotal } from "./constants.js";
import { ShardLog } from "./shard-log.js";
import { ShardMaintenance, type WallClock } from "./shard-maintenance.js";
import { ShardWriter } from "./shard-writer.js";

export interface ShardedLedgerOptions {
    readonly keyValueService: KeyValueService;
    readonly routerId: string;
    /** IDs of the live routers, this one included. */
    readonly liveRouters: () => readonly string[];
    /** Undefined for a router on its own. */
    readonly peers?: LedgerPeers;
    /** Wall clock, only to know how old a key is. */
    readonly wallClock: WallClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Longest wait for the router that usually writes a shard before this one writes itself. */
const peerTimeoutMilliseconds = 500;

/** How long the choice of writers is used before the live routers are asked again. */
const ownersLifetimeMilliseconds = 500;

const shardHashDigits = 8;
const hexadecimal = 16;

/** The shard of a key, which must be a hexadecimal hash. */
export function shardOf(key: string): number {
    return Number.parseInt(key.slice(0, shardHashDigits), hexadecimal) % shardTotal;
}

export class ShardedLedger implements BookingLedger, ManagedComponent {
    readonly name = "booking ledger";
    private readonly writers = new Map<number, ShardWriter>();
    private owners: readonly string[] = [];
    private ownersUntil = 0;
    private timer: ReturnType<typeof setInterval> | undefined;
    private maintenance: Promise<void> | undefined;

    constructor(private readonly options: ShardedLedgerOptions) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => void this.maintain(), maintenanceMilliseconds);
    }

    /** Ends what waits; callers have been drained before. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.writers.forEach(writer => writer.stop());
        await this.maintenance;
    }

    /** Shards in memory, and the records they hold. */
    get size(): { readonly shards: number; readonly records: number; } {
        const writers = [...this.writers.values()];
        return {
            shards: writers.length,
            records: writers.reduce((sum, writer) => sum + writer.state.recordTotal, 0),
        };
    }

    /** Sends the operation to the router that usually writes its shard, or writes it here. */
    async submit(operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const deadline = monotonicNow() + timeoutMilliseconds;
        const shard = shardOf(operation.type === "claim" ? operation.claim.key : operation.key);
        const owner = this.ownerOf(shard);
        const { peers, routerId, metrics } = this.options;
        if (peers !== undefined && owner !== routerId) {
            try {
                // Half of the time is left for writing here.
                const timeout = Math.min(timeoutMilliseconds / 2, peerTimeoutMilliseconds);
                return await peers.submit(owner, operation, timeout);
            }
            catch {
                metrics.increment("pomelostall.ledger.peer_failed");
            }
        }
        return this.submitLocally(operation, deadline - monotonicNow());
    }

    /** Writes the operation in this router; also for operations that peers hand over. */
    submitLocally(operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const shard = shardOf(operation.type === "claim" ? operation.claim.key : operation.key);
        return this.writerOf(shard).submit(operation, timeoutMilliseconds);
    }

    /** Bookings of all shards that have no final outcome, oldest first. For operators. */
    async listUnresolved(): Promise<readonly BookingRecord[]> {
        const records: BookingRecord[] = [];
        for (let shard = 0; shard < shardTotal; shard++) {
            const writer = this.writerOf(shard);
            await writer.refresh();
            records.push(...writer.state.listUnresolved());
        }
        return records.sort((left, right) => left.claim.claimedAt - right.claim.claimedAt);
    }

    /** One round of merging and forgetting over the shards that this router usually writes. */
    maintain(): Promise<void> {
        this.maintenance ??= this.maintainShards().finally(() => {
            this.maintenance = undefined;
        });
        return this.maintenance;
    }

    private async maintainShards(): Promise<void> {
        for (const writer of [...this.writers.values()]) {
            if (this.ownerOf(writer.shard) === this.options.routerId) {
                await this.maintainShard(writer);
            }
            else if (writer.idleMilliseconds > idleShardMilliseconds) {
                writer.stop();
                this.writers.delete(writer.shard);
            }
        }
        const { records, shards } = this.size;
        this.options.metrics.gauge("pomelostall.ledger.records", records);
        this.options.metrics.gauge("pomelostall.ledger.shards", shards);
    }

    private async maintainShard(writer: ShardWriter): Promise<void> {
        try {
            await new ShardMaintenance(writer, this.options.wallClock).run();
        }
        catch (error) {
            this.options.logger.warn("a shard of the ledger could not be maintained", {
                shard: writer.shard,
                error: String(error),
            });
        }
    }

    private writerOf(shard: number): ShardWriter {
        const known = this.writers.get(shard);
        if (known !== undefined) {
            return known;
        }
        const writer = new ShardWriter(shard, new ShardLog(this.options.keyValueService, shard), this.options.metrics);
        this.writers.set(shard, writer);
        return writer;
    }

    private ownerOf(shard: number): string {
        const now = monotonicNow();
        if (now >= this.ownersUntil) {
            const routers = this.options.liveRouters();
            this.owners = Array.from(
                { length: shardTotal },
                (_unused, each) => rankByRendezvous(`ledger-${each}`, routers, id => id)[0] ?? this.options.routerId,
            );
            this.ownersUntil = now + ownersLifetimeMilliseconds;
        }
        return this.owners[shard]!;
    }
}
