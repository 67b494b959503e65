/**
 * What the booking ledger asks of the platform, against one record for each key. Real ledgers over the in-process platform
 * on the paused clock; only the take-over's processor time is read from the machine's own clock.
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
import { atLeast, atMost, type Benchmark, type Figure, quantile } from "./figures.js";
import { pausedClock, runUntilSettled } from "./paused-clock.js";

const bench = "ledger";
const routerTotal = 13;
const platformLatencyMilliseconds = 5;
const millisecondsPerSecond = 1_000;
/** Stated: the fleet makes at most 200 writes a second. */
const writesPerSecondLimit = 200;
/** The take-over time that docs/design/booking-ledger.md states. */
const takeOverBoundMilliseconds = 3_000;
/** Half a million bookings a day over 32 shards. */
const dayBookingsOfShard = 15_625;
const fillBatch = 25;
const ordinaryBookingsPerSecond = 60;
const saturatingBookingsPerSecond = 1_500;
const loadSeconds = 10;
const tickMilliseconds = 5;
const fillTickMilliseconds = 80;
/** What the stated rate allows at two writes a booking. */
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

    /** Claims a new key at some router, records its outcome, and gives the time until the claim was durable. */
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

interface Load {
    readonly claimMilliseconds: readonly number[];
    readonly bookingsPerSecond: number;
    readonly writesPerSecond: number;
    readonly writesPerBooking: number;
}

/** Offers bookings at a steady rate, and counts what was done in that time. */
async function offer(book: () => Promise<number>, platform: StandInPlatform, rate: number): Promise<Load> {
    const claimMilliseconds: number[] = [];
    const writesBefore = platform.counts.writes;
    let offered = 0;
    for (let time = 0; time < loadSeconds * millisecondsPerSecond; time += tickMilliseconds) {
        for (; offered < (time * rate) / millisecondsPerSecond; offered++) {
            book().then(milliseconds => claimMilliseconds.push(milliseconds), () => undefined);
        }
        await pausedClock.tickAsync(tickMilliseconds);
    }
    const writes = platform.counts.writes - writesBefore;
    return {
        claimMilliseconds,
        bookingsPerSecond: claimMilliseconds.length / loadSeconds,
        writesPerSecond: writes / loadSeconds,
        writesPerBooking: writes / claimMilliseconds.length,
    };
}

/** The baseline: one record for each key, written once for the claim and once for the outcome, under the same rate. */
class RecordForEachKey {
    readonly platform = new StandInPlatform();
    private readonly pace = new TokenBucket(writesPerSecondLimit, 1);
    private turn: Promise<void> = Promise.resolve();
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

    private async put(key: string, revision: number, value: object): Promise<number> {
        this.turn = this.turn.then(() => this.takeTurn());
        await this.turn;
        const bytes = Buffer.from(JSON.stringify(value));
        const result = await this.platform.transact({
            conditions: [{ key, revision }],
            writes: [{ kind: "put", key, value: bytes }],
        }, 60_000);
        return result.revision;
    }

    private async takeTurn(): Promise<void> {
        for (let wait = this.pace.tryTake(); wait > 0; wait = this.pace.tryTake()) {
            await new Promise(resolve => setTimeout(resolve, wait));
        }
    }
}

async function measureLoads(): Promise<Figure[]> {
    const fleet = new LedgerFleet(routerTotal);
    const baseline = new RecordForEachKey();
    const ordinary = await offer(() => fleet.book(), fleet.platform, ordinaryBookingsPerSecond);
    const ordinaryBaseline = await offer(() => baseline.book(), baseline.platform, ordinaryBookingsPerSecond);
    const busyFleet = new LedgerFleet(routerTotal);
    const busyBaseline = new RecordForEachKey();
    const busy = await offer(() => busyFleet.book(), busyFleet.platform, saturatingBookingsPerSecond);
    const base = await offer(() => busyBaseline.book(), busyBaseline.platform, saturatingBookingsPerSecond);
    const p95 = (load: Load) => round(quantile(load.claimMilliseconds, 0.95));
    return [
        figure("writes_per_booking", ordinary.writesPerBooking, "writes at 60/s", ordinaryBaseline.writesPerBooking),
        figure("claim_p95", p95(ordinary), "ms at 60/s", p95(ordinaryBaseline)),
        figure(
            "saturated_writes_per_booking",
            busy.writesPerBooking,
            "writes at 1,500/s offered",
            base.writesPerBooking,
        ),
        {
            ...figure("saturated_writes", busy.writesPerSecond, "writes/s", base.writesPerSecond),
            bound: atMost(writesPerSecondLimit),
        },
        {
            ...figure("saturated_bookings", busy.bookingsPerSecond, "bookings/s", base.bookingsPerSecond),
            bound: atLeast(bookingsPerSecondBound),
        },
        figure("saturated_claim_p95", p95(busy), "ms at 1,500/s offered", p95(base)),
    ];
}

/** Fills one shard with a day's bookings, and reads it back as a router does that takes it over. */
async function measureTakeOver(): Promise<Figure[]> {
    const fleet = new LedgerFleet(1);
    const [ledger] = [...fleet.ledgers.values()];
    await ledger!.start();
    for (let filled = 0; filled < dayBookingsOfShard; filled += fillBatch) {
        const keys = Array.from({ length: fillBatch }, (_unused, index) => shardZeroKey(filled + index));
        await runUntilSettled(Promise.all(keys.map(key => fleet.book(key))), fillTickMilliseconds);
    }
    await runUntilSettled(ledger!.maintain(), 20);
    const stored = await runUntilSettled(fleet.platform.list("pomelostall/bookings/000/log/", 60_000));
    await ledger!.stop();
    const next = new LedgerFleet(1);
    const taker = new ShardedLedger({
        keyValueService: fleet.platform,
        routerId: "router-0",
        liveRouters: () => ["router-0"],
        wallClock: () => Date.now(),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
    next.platform.close();
    const clockStart = performance.now();
    const processorStart = process.hrtime.bigint();
    await runUntilSettled(taker.submitLocally({ type: "lookup", key: shardZeroKey(1) }, 60_000));
    const milliseconds = Number(process.hrtime.bigint() - processorStart) / 1e6 + performance.now() - clockStart;
    const storedBytes = stored.reduce((sum, entry) => sum + entry.value.byteLength, 0);
    const largest = Math.max(...stored.map(entry => entry.value.byteLength));
    return [
        { ...figure("take_over", milliseconds, "ms for 15,625 bookings"), bound: atMost(takeOverBoundMilliseconds) },
        figure("take_over_records", taker.size.records, "bookings"),
        figure("shard_segments", stored.length, "values"),
        figure("shard_bytes", storedBytes, "bytes"),
        { ...figure("largest_value", largest, "bytes"), bound: atMost(1_000_000) },
    ];
}

function shardZeroKey(index: number): string {
    return `00000000${createHash("sha256").update(String(index)).digest("hex").slice(0, 24)}`;
}

function figure(name: string, value: number, unit: string, baseline?: number): Figure {
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
