import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { BookingResult, type LedgerOperation } from "../../../src/domain/booking-ledger.js";
import { PlatformUnavailableError } from "../../../src/errors/index.js";
import { keyRetentionMilliseconds, shardOf } from "../../../src/process/ledger/index.js";
import { ShardLog } from "../../../src/process/ledger/shard-log.js";
import { LedgerFixture, type LedgerRouter } from "./ledger-fixture.js";

let fixture: LedgerFixture;
let router: LedgerRouter;

beforeEach(() => {
    fixture = new LedgerFixture();
    router = fixture.add();
});

afterEach(async () => {
    await fixture.stop();
});

async function advanceAndAwait<Value>(promise: Promise<Value>, milliseconds = 2_000): Promise<Value> {
    promise.catch(() => undefined);
    await jest.advanceTimersByTimeAsync(milliseconds);
    return promise;
}

/** Returns a key of shard 0. */
function keyOf(index: number): string {
    return `00000000${String(index).padStart(24, "0")}`;
}

function claim(index: number, claimId = `claim-${index}`): LedgerOperation {
    return {
        type: "claim",
        claim: {
            key: keyOf(index),
            claimId,
            requestId: `request-${index}`,
            bodyHash: "hash",
            customer: "yard",
            service: "bookings",
            routerId: router.id,
            routerIncarnation: 1,
            claimedAt: fixture.wallClock(),
        },
    };
}

function outcome(index: number, result: BookingResult = BookingResult.done): LedgerOperation {
    return { type: "outcome", key: keyOf(index), claimId: `claim-${index}`, outcome: { result } };
}

const lookup = (index: number): LedgerOperation => ({ type: "lookup", key: keyOf(index) });

async function logKeys(): Promise<string[]> {
    const entries = await fixture.platform.list("pomelostall/bookings/000/log/", 1_000);
    return entries.map(entry => entry.key);
}

describe("ShardedLedger", () => {
    test("operations that arrive during a write share the next batch", async () => {
        router.platform.faults.latencyMilliseconds = 100;
        const operations = Array.from({ length: 50 }, (_unused, index) => router.ledger.submit(claim(index), 5_000));
        await advanceAndAwait(Promise.all(operations), 3_000);
        expect((await logKeys()).length).toBeLessThanOrEqual(2);
    });

    test("a shard's writes stay within its share of the fleet's write rate", async () => {
        const start = fixture.platform.counts.writes;
        for (let index = 0; index < 200; index++) {
            router.ledger.submit(claim(index), 60_000).catch(() => undefined);
            await jest.advanceTimersByTimeAsync(50);
        }
        expect((fixture.platform.counts.writes - start) / 10).toBeLessThanOrEqual(150 / 32 + 1);
    });

    test("a writer with an outdated position can't append over what another router wrote and merged", async () => {
        const other = fixture.add();
        await advanceAndAwait(router.ledger.submitLocally(claim(0), 5_000));
        for (let index = 1; index < 80; index++) {
            await advanceAndAwait(other.ledger.submitLocally(claim(index), 5_000), 700);
        }
        await advanceAndAwait(maintain(other), 5_000);
        expect((await logKeys()).length).toBeLessThan(40);
        expect(await advanceAndAwait(router.ledger.submitLocally(claim(40, "late"), 5_000))).toMatchObject({
            type: "existing",
            record: { claim: { claimId: "claim-40" } },
        });
        expect(await advanceAndAwait(router.ledger.submitLocally(lookup(79), 5_000))).toMatchObject({
            record: { claim: { claimId: "claim-79" } },
        });
    });

    test("a router that takes over a shard reads its merged segments", async () => {
        for (let index = 0; index < 70; index++) {
            await advanceAndAwait(router.ledger.submitLocally(claim(index), 5_000), 700);
            await advanceAndAwait(router.ledger.submitLocally(outcome(index), 5_000), 700);
        }
        await advanceAndAwait(maintain(router), 5_000);
        const next = fixture.add();
        const result = await advanceAndAwait(next.ledger.submitLocally(lookup(3), 5_000));
        expect(result).toMatchObject({ record: { outcome: { result: "done" } } });
        expect(next.ledger.size.records).toBe(70);
    });

    test("keys expire after the retention period, but unresolved bookings are retained", async () => {
        await advanceAndAwait(router.ledger.submitLocally(claim(1), 5_000));
        await advanceAndAwait(router.ledger.submitLocally(outcome(1), 5_000));
        await advanceAndAwait(router.ledger.submitLocally(claim(2), 5_000));
        fixture.wallClockOffsetMilliseconds = keyRetentionMilliseconds + 1_000;
        await advanceAndAwait(router.ledger.submitLocally(claim(3), 5_000));
        await advanceAndAwait(maintain(router), 5_000);
        const next = fixture.add();
        for (const ledger of [router.ledger, next.ledger]) {
            expect(await advanceAndAwait(ledger.submitLocally(lookup(1), 5_000))).toEqual({
                type: "found",
                record: undefined,
            });
            expect(await advanceAndAwait(ledger.submitLocally(lookup(2), 5_000))).toMatchObject({
                record: { claim: { claimId: "claim-2" } },
            });
        }
        expect((await advanceAndAwait(next.ledger.listUnresolved())).map(each => each.claim.requestId)).toEqual([
            "request-2",
            "request-3",
        ]);
    });

    test("of the calling router's later outcomes, only `done` replaces an operator's settlement", async () => {
        await advanceAndAwait(router.ledger.submitLocally(claim(1), 5_000));
        await advanceAndAwait(router.ledger.submitLocally(outcome(1, BookingResult.unknown), 5_000));
        await advanceAndAwait(router.ledger.submitLocally(outcome(1, BookingResult.settled), 5_000));
        expect(await advanceAndAwait(router.ledger.submitLocally(outcome(1, BookingResult.notRun), 5_000))).toEqual({
            type: "ignored",
        });
        expect(await advanceAndAwait(router.ledger.submitLocally(claim(1, "again"), 5_000))).toMatchObject({
            type: "existing",
        });
        expect(await advanceAndAwait(router.ledger.submitLocally(outcome(1), 5_000))).toEqual({ type: "recorded" });
    });

    test("stale data from the platform makes operations fail instead of losing claims", async () => {
        fixture.platform.saveSnapshot();
        await advanceAndAwait(router.ledger.submitLocally(claim(1), 5_000));
        router.platform.faults.staleReads = true;
        await expect(advanceAndAwait(router.ledger.submitLocally(lookup(1), 2_000), 2_500)).rejects.toThrow(
            PlatformUnavailableError,
        );
        const fresh = fixture.add();
        fresh.platform.faults.staleReads = true;
        await expect(advanceAndAwait(fresh.ledger.submitLocally(claim(1, "second"), 2_000), 2_500)).rejects.toThrow(
            PlatformUnavailableError,
        );
        fresh.platform.faults.staleReads = false;
        expect(await advanceAndAwait(fresh.ledger.submitLocally(claim(1, "third"), 5_000), 6_000)).toMatchObject({
            type: "existing",
        });
    });

    test("a read that a merge interrupts is repeated until the segments have no gap", async () => {
        for (let index = 0; index < 40; index++) {
            await advanceAndAwait(router.ledger.submitLocally(claim(index), 5_000), 700);
        }
        const log = new ShardLog(fixture.platform, 0);
        const before = await log.readStored(0, 40);
        const list = fixture.platform.list.bind(fixture.platform);
        let merged = false;
        fixture.platform.list = async (prefix, timeout, _maximum, afterKey) => {
            const page = await list(prefix, timeout, 10, afterKey);
            if (!merged) {
                merged = true;
                await log.merge(before.slice(5, 35));
            }
            return page;
        };
        const { segments } = await log.read();
        const claims = segments.flatMap(stored => stored.segment.entries);
        expect(new Set(claims.map(entry => JSON.stringify(entry))).size).toBe(40);
    });

    test("idle shards that this router no longer owns are removed from memory", async () => {
        await advanceAndAwait(router.ledger.submitLocally(claim(1), 5_000));
        const others = [fixture.add(), fixture.add(), fixture.add()];
        router.alive = others.length === 0;
        await jest.advanceTimersByTimeAsync(61_000);
        await advanceAndAwait(router.ledger.maintain());
        expect(router.ledger.size.shards).toBe(0);
        router.alive = true;
    });

    test("assigns each key to a fixed shard", () => {
        expect(shardOf("0000001f00")).toBe(31);
        expect(shardOf(keyOf(7))).toBe(0);
    });
});

/** Runs maintenance while the router is the only live one, so that it owns every shard. */
async function maintain(owner: LedgerRouter): Promise<void> {
    const others = fixture.routers.filter(other => other !== owner && other.alive);
    others.forEach(other => other.alive = false);
    await jest.advanceTimersByTimeAsync(600);
    await owner.ledger.maintain();
    others.forEach(other => other.alive = true);
    await jest.advanceTimersByTimeAsync(600);
}
