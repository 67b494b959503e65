/**
 * The booking ledger of one router. Rendezvous hashing over the live routers selects each shard's owner, which usually
 * writes the shard. Other routers forward their operations to the owner, and write the shard themselves when the owner
 * does not answer. Ownership only saves writes; correctness with any number of writers comes from the compare-and-swap
 * of each shard's log.
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
    /** Undefined for a router without peers. */
    readonly peers?: LedgerPeers;
    /** Wall clock; used only to determine the age of keys. */
    readonly wallClock: WallClock;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Maximum wait for a shard's owner before this router writes the operation itself. */
const peerTimeoutMilliseconds = 500;

/** How long the owners of shards are cached before they are computed again from the live routers. */
const ownerCacheMilliseconds = 500;

const shardHashDigits = 8;
const hexadecimal = 16;

/** Returns the shard of a key, which must be a hexadecimal hash. */
export function shardOf(key: string): number {
    return Number.parseInt(key.slice(0, shardHashDigits), hexadecimal) % shardTotal;
}

export class ShardedLedger implements BookingLedger, ManagedComponent {
    readonly name = "booking ledger";
    private readonly writers = new Map<number, ShardWriter>();
    private owners: readonly string[] = [];
    private ownersValidUntil = 0;
    private timer: ReturnType<typeof setInterval> | undefined;
    private maintenance: Promise<void> | undefined;

    constructor(private readonly options: ShardedLedgerOptions) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => void this.maintain(), maintenanceMilliseconds);
    }

    /** Stops all writers, which rejects pending operations. Callers must have been drained before. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.writers.forEach(writer => writer.stop());
        await this.maintenance;
    }

    /** Number of shards in memory, and of the records in them. */
    get size(): { readonly shards: number; readonly records: number; } {
        const writers = [...this.writers.values()];
        return {
            shards: writers.length,
            records: writers.reduce((sum, writer) => sum + writer.state.recordTotal, 0),
        };
    }

    /**
     * Forwards the operation to its shard's owner. Writes it locally if this router is the owner or the owner fails.
     */
    async submit(operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const deadline = monotonicNow() + timeoutMilliseconds;
        const shard = shardOf(operation.type === "claim" ? operation.claim.key : operation.key);
        const owner = this.ownerOf(shard);
        const { peers, routerId, metrics } = this.options;
        if (peers !== undefined && owner !== routerId) {
            try {
                // Half of the time is reserved for a local write.
                const timeout = Math.min(timeoutMilliseconds / 2, peerTimeoutMilliseconds);
                return await peers.submit(owner, operation, timeout);
            }
            catch {
                metrics.increment("pomelostall.ledger.peer_failed");
            }
        }
        return this.submitLocally(operation, deadline - monotonicNow());
    }

    /** Writes the operation in this router; also used for operations that peers forward. */
    submitLocally(operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const shard = shardOf(operation.type === "claim" ? operation.claim.key : operation.key);
        return this.getOrCreateWriter(shard).submit(operation, timeoutMilliseconds);
    }

    /** Lists the bookings of all shards that have no final outcome, oldest claim first. For operators. */
    async listUnresolved(): Promise<readonly BookingRecord[]> {
        const records: BookingRecord[] = [];
        for (let shard = 0; shard < shardTotal; shard++) {
            const writer = this.getOrCreateWriter(shard);
            await writer.refresh();
            records.push(...writer.state.listUnresolved());
        }
        return records.sort((left, right) => left.claim.claimedAt - right.claim.claimedAt);
    }

    /**
     * Deletes expired segments and merges small ones in the shards that this router owns, and drops idle shards of
     * other owners from memory. Returns the run in progress, if any.
     */
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
            this.options.logger.warn("maintenance of a ledger shard failed; retrying in the next round", {
                shard: writer.shard,
                error: String(error),
            });
        }
    }

    private getOrCreateWriter(shard: number): ShardWriter {
        const existing = this.writers.get(shard);
        if (existing !== undefined) {
            return existing;
        }
        const writer = new ShardWriter(shard, new ShardLog(this.options.keyValueService, shard), this.options.metrics);
        this.writers.set(shard, writer);
        return writer;
    }

    private ownerOf(shard: number): string {
        const now = monotonicNow();
        if (now >= this.ownersValidUntil) {
            const routers = this.options.liveRouters();
            this.owners = Array.from(
                { length: shardTotal },
                (_unused, each) => rankByRendezvous(`ledger-${each}`, routers, id => id)[0] ?? this.options.routerId,
            );
            this.ownersValidUntil = now + ownerCacheMilliseconds;
        }
        return this.owners[shard]!;
    }
}
