/**
 * Writes and latency of the booking ledger, compared with a baseline that stores one record per key. Production ledgers
 * run against the in-process platform on a fake clock. The processing time of a take-over is measured with the real
 * clock and added to its time on the fake clock.
 */
import { createHash } from "node:crypto";
import { SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { TokenBucket } from "../src/common/token-bucket.js";
import {
    type BookingClaim,
    BookingResult,
    type LedgerOperation,
    type LedgerPeers,
} from "../src/domain/booking-ledger.js";
import { ShardedLedger } from "../src/process/ledger/index.js";
import { StandInPlatform } from "../src/stand-ins/platform/index.js";
import { fakeClock, runUntilSettled } from "./fake-clock.js";
import { atLeast, atMost, type Benchmark, type Figure, quantile } from "./figures.js";

const bench = "ledger";
const routerTotal = 13;
const platformLatencyMilliseconds = 5;
const millisecondsPerSecond = 1_000;
/** Requirement: all routers together make at most 200 writes per second. */
const writesPerSecondLimit = 200;
/** The take-over time that docs/design/booking-ledger.md states. */
const takeOverBoundMilliseconds = 3_000;
/** 500,000 bookings per day divided among 32 shards. */
const dailyBookingsPerShard = 15_625;
const fillBatchSize = 25;
const ordinaryBookingsPerSecond = 60;
const saturatingBookingsPerSecond = 1_500;
const loadSeconds = 10;
const tickMilliseconds = 5;
const fillTickMilliseconds = 80;
/** The rate that the write limit allows at two writes per booking. */
const bookingsPerSecondBound = writesPerSecondLimit / 2;

class LedgerFleet {
    readonly platform = new StandInPlatform();
    readonly ledgers = new Map<string, ShardedLedger>();
    private bookings = 0;

    constructor(total: number) {
        this.platform.faults.latencyMilliseconds = platformLatencyMilliseconds;
        const routers = Array.from({ length: total }, (_unused, index) => `router-${index}`);
        const peers: LedgerPeers = {
            submit: (routerId, operation, timeout) => this.ledgers.get(routerId)!.submitLocally(operation, timeout),
        };
        for (const routerId of routers) {
            this.ledgers.set(
                routerId,
                new ShardedLedger({
                    keyValueService: this.platform,
                    routerId,
                    liveRouters: () => routers,
                    peers,
                    wallClock: () => Date.now(),
                    logger: new SilentLogger(),
                    metrics: new SilentMetrics(),
                }),
            );
        }
    }

    /**
     * Claims a key at the next router in turn and records its outcome; returns the milliseconds until the claim was
     * durable.
     */
    async book(key = createHash("sha256").update(String(++this.bookings)).digest("hex").slice(0, 32)): Promise<number> {
        const ledger = [...this.ledgers.values()][++this.bookings % this.ledgers.size]!;
        const claim = createClaim(key, this.bookings);
        const start = performance.now();
        await ledger.submit({ type: "claim", claim }, 60_000);
        const claimed = performance.now() - start;
        await ledger.submit(createOutcome(claim), 60_000);
        return claimed;
    }
}

function createClaim(key: string, number: number): BookingClaim {
    return {
        key,
        claimId: `claim-${number}-7c9e6679-7425-40de-944b`,
        requestId: `request-${number}`,
        bodyHash: createHash("sha256").update(`body ${number}`).digest("hex").slice(0, 32),
        customer: `yard-${number % 310}`,
        service: "bookings",
        routerId: `router-${number % routerTotal}`,
        routerIncarnation: 1,
        claimedAt: Date.now(),
    };
}

function createOutcome(claim: BookingClaim): LedgerOperation {
    const body = Buffer.from(JSON.stringify({ docket: claim.requestId, truck: 7, yard: claim.customer }));
    const answer = { status: 201, contentType: "application/json", body: body.toString("base64") };
    return { type: "outcome", key: claim.key, claimId: claim.claimId, outcome: { result: BookingResult.done, answer } };
}

interface LoadResult {
    readonly claimMilliseconds: readonly number[];
    readonly bookingsPerSecond: number;
    readonly writesPerSecond: number;
    readonly writesPerBooking: number;
}

/** Offers bookings at a constant rate (per second) and counts those completed during the load. */
async function runLoad(book: () => Promise<number>, platform: StandInPlatform, rate: number): Promise<LoadResult> {
    const claimMilliseconds: number[] = [];
    const writesBefore = platform.counts.writes;
    let offered = 0;
    for (let time = 0; time < loadSeconds * millisecondsPerSecond; time += tickMilliseconds) {
        for (; offered < (time * rate) / millisecondsPerSecond; offered++) {
            book().then(milliseconds => claimMilliseconds.push(milliseconds), () => undefined);
        }
        await fakeClock.tickAsync(tickMilliseconds);
    }
    const writes = platform.counts.writes - writesBefore;
    return {
        claimMilliseconds,
        bookingsPerSecond: claimMilliseconds.length / loadSeconds,
        writesPerSecond: writes / loadSeconds,
        writesPerBooking: writes / claimMilliseconds.length,
    };
}

/** The baseline: one record per key, written once for the claim and once for the outcome, with the same write limit. */
class RecordPerKeyStore {
    readonly platform = new StandInPlatform();
    private readonly writeLimiter = new TokenBucket(writesPerSecondLimit, 1);
    private pendingWrite: Promise<void> = Promise.resolve();
    private bookings = 0;

    constructor() {
        this.platform.faults.latencyMilliseconds = platformLatencyMilliseconds;
    }

    async book(): Promise<number> {
        const claim = createClaim(`key-${++this.bookings}`, this.bookings);
        const start = performance.now();
        const revision = await this.put(claim.key, 0, claim);
        const claimed = performance.now() - start;
        await this.put(claim.key, revision, createOutcome(claim));
        return claimed;
    }

    private async put(key: string, expectedRevision: number, value: object): Promise<number> {
        this.pendingWrite = this.pendingWrite.then(() => this.waitForWriteToken());
        await this.pendingWrite;
        const bytes = Buffer.from(JSON.stringify(value));
        const result = await this.platform.transact({
            conditions: [{ key, revision: expectedRevision }],
            writes: [{ kind: "put", key, value: bytes }],
        }, 60_000);
        return result.revision;
    }

    private async waitForWriteToken(): Promise<void> {
        for (let wait = this.writeLimiter.tryTake(); wait > 0; wait = this.writeLimiter.tryTake()) {
            await new Promise(resolve => setTimeout(resolve, wait));
        }
    }
}

async function measureLoads(): Promise<Figure[]> {
    const fleet = new LedgerFleet(routerTotal);
    const baselineStore = new RecordPerKeyStore();
    const ordinary = await runLoad(() => fleet.book(), fleet.platform, ordinaryBookingsPerSecond);
    const ordinaryBaseline = await runLoad(
        () => baselineStore.book(),
        baselineStore.platform,
        ordinaryBookingsPerSecond,
    );
    const saturatedFleet = new LedgerFleet(routerTotal);
    const saturatedBaselineStore = new RecordPerKeyStore();
    const saturated = await runLoad(() => saturatedFleet.book(), saturatedFleet.platform, saturatingBookingsPerSecond);
    const saturatedBaseline = await runLoad(
        () => saturatedBaselineStore.book(),
        saturatedBaselineStore.platform,
        saturatingBookingsPerSecond,
    );
    const p95 = (load: LoadResult) => round(quantile(load.claimMilliseconds, 0.95));
    return [
        createFigure(
            "writes_per_booking",
            ordinary.writesPerBooking,
            "writes at 60/s",
            ordinaryBaseline.writesPerBooking,
        ),
        createFigure("claim_p95", p95(ordinary), "ms at 60/s", p95(ordinaryBaseline)),
        createFigure(
            "saturated_writes_per_booking",
            saturated.writesPerBooking,
            "writes at 1,500/s offered",
            saturatedBaseline.writesPerBooking,
        ),
        {
            ...createFigure(
                "saturated_writes",
                saturated.writesPerSecond,
                "writes/s",
                saturatedBaseline.writesPerSecond,
            ),
            bound: atMost(writesPerSecondLimit),
        },
        {
            ...createFigure(
                "saturated_bookings",
                saturated.bookingsPerSecond,
                "bookings/s",
                saturatedBaseline.bookingsPerSecond,
            ),
            bound: atLeast(bookingsPerSecondBound),
        },
        createFigure("saturated_claim_p95", p95(saturated), "ms at 1,500/s offered", p95(saturatedBaseline)),
    ];
}

/** Fills one shard with the bookings of a day and measures how long another router takes to load the shard. */
async function measureTakeOver(): Promise<Figure[]> {
    const fleet = new LedgerFleet(1);
    const [ledger] = [...fleet.ledgers.values()];
    await ledger!.start();
    for (let filled = 0; filled < dailyBookingsPerShard; filled += fillBatchSize) {
        const keys = Array.from({ length: fillBatchSize }, (_unused, index) => shardZeroKey(filled + index));
        await runUntilSettled(Promise.all(keys.map(key => fleet.book(key))), fillTickMilliseconds);
    }
    await runUntilSettled(ledger!.maintain(), 20);
    const stored = await runUntilSettled(fleet.platform.list("pomelostall/bookings/000/log/", 60_000));
    await ledger!.stop();
    const successorFleet = new LedgerFleet(1);
    const successor = new ShardedLedger({
        keyValueService: fleet.platform,
        routerId: "router-0",
        liveRouters: () => ["router-0"],
        wallClock: () => Date.now(),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
    successorFleet.platform.close();
    const fakeStartMilliseconds = performance.now();
    const realStartNanoseconds = process.hrtime.bigint();
    await runUntilSettled(successor.submitLocally({ type: "lookup", key: shardZeroKey(1) }, 60_000));
    const takeOverMilliseconds = Number(process.hrtime.bigint() - realStartNanoseconds) / 1e6 + performance.now()
        - fakeStartMilliseconds;
    const storedBytes = stored.reduce((sum, entry) => sum + entry.value.byteLength, 0);
    const largestBytes = Math.max(...stored.map(entry => entry.value.byteLength));
    return [
        {
            ...createFigure("take_over", takeOverMilliseconds, "ms for 15,625 bookings"),
            bound: atMost(takeOverBoundMilliseconds),
        },
        createFigure("take_over_records", successor.size.records, "bookings"),
        createFigure("shard_segments", stored.length, "values"),
        createFigure("shard_bytes", storedBytes, "bytes"),
        { ...createFigure("largest_value", largestBytes, "bytes"), bound: atMost(1_000_000) },
    ];
}

function shardZeroKey(index: number): string {
    return `00000000${createHash("sha256").update(String(index)).digest("hex").slice(0, 24)}`;
}

function createFigure(name: string, value: number, unit: string, baseline?: number): Figure {
    return {
        bench,
        figure: name,
        value: round(value),
        unit,
        baseline: baseline === undefined ? undefined : round(baseline),
    };
}

function round(value: number): number {
    return Math.round(value * 1_000) / 1_000;
}

export const benchmark: Benchmark = {
    name: bench,
    async run() {
        return [...await measureLoads(), ...await measureTakeOver()];
    },
};
