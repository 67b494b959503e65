import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../../src/common/logger.js";
import { SeededRandom } from "../../../../src/common/random.js";
import type { ConditionalWrite, MetadataStore } from "../../../../src/domain/gateway/metadata-store.js";
import type { StoreLease } from "../../../../src/domain/gateway/store-position.js";
import { PlatformUnavailableError } from "../../../../src/errors/index.js";
import { LeasedRecordWriter } from "../../../../src/process/gateway/prompt-quarantine/leased-record-writer.js";

/** Holds keys and leases; fails calls when told to. */
class FakeStore {
    available = true;
    /** Carries out commits, whose responses are then lost. */
    loseResponses = false;
    calls = 0;
    leases = 0;
    lastEndedLease = 0;
    /** Commits wait for this. */
    pending = Promise.resolve();
    readonly keys = new Map<string, number>();

    async grantLease(): Promise<StoreLease> {
        this.checkAvailable();
        return { id: ++this.leases, era: 0 };
    }

    async commit({ conditions, writes }: ConditionalWrite): Promise<boolean> {
        this.checkAvailable();
        await this.pending;
        const [write] = writes;
        if (
            conditions[0]!.position !== undefined || this.keys.has(conditions[0]!.key)
            || write!.lease!.id <= this.lastEndedLease
        ) {
            return false;
        }
        this.keys.set(write!.key, write!.lease!.id);
        if (this.loseResponses) {
            throw new PlatformUnavailableError("lost", true);
        }
        return true;
    }

    private checkAvailable(): void {
        this.calls++;
        if (!this.available) {
            throw new PlatformUnavailableError("down", false);
        }
    }
}

let store: FakeStore;
let writer: LeasedRecordWriter;
let nextKey: number;

beforeEach(() => {
    jest.useFakeTimers();
    nextKey = 0;
    store = new FakeStore();
    writer = new LeasedRecordWriter(
        store as unknown as MetadataStore,
        { leaseMilliseconds: 600_000, leaseSharingMilliseconds: 30_000 },
        new SeededRandom(1),
        new SilentLogger(),
    );
});
afterEach(async () => {
    await writer.stop();
    jest.useRealTimers();
});

const write = (count: number) =>
    Array.from({ length: count }).forEach(() => writer.write({ key: `key-${nextKey++}`, value: Buffer.from("") }));
const wait = (milliseconds: number) => jest.advanceTimersByTimeAsync(milliseconds);

test("records are written one after the other, and a stop ends the writing", async () => {
    write(3);
    await wait(10);
    expect([...store.keys.keys()]).toEqual(["key-0", "key-1", "key-2"]);
    write(1);
    await writer.stop();
    write(1);
    await wait(10_000);
    expect(store.keys.size).toBeLessThan(5);
});

test("records share a lease for 30 s only, so that none ends much sooner than the lease", async () => {
    write(1);
    await wait(29_000);
    write(1);
    await wait(2_000);
    write(1);
    await wait(10);
    expect([...store.keys.values()]).toEqual([1, 1, 2]);
});

test("records wait while the store is away, the oldest are dropped, and calls become rarer", async () => {
    store.available = false;
    write(40);
    await wait(60_000);
    expect(store.calls).toBeLessThan(60);
    store.available = true;
    await wait(60_000);
    expect([...store.keys.keys()]).toEqual(Array.from({ length: 32 }, (_value, index) => `key-${index + 8}`));
});

test("a write whose response is lost takes effect once, and the next records follow", async () => {
    store.loseResponses = true;
    write(1);
    await wait(10);
    store.loseResponses = false;
    write(1);
    await wait(5_000);
    expect([...store.keys.keys()]).toEqual(["key-0", "key-1"]);
});

test("no record is lost when the one that is being written is dropped from the queue", async () => {
    let release = () => undefined as void;
    store.pending = new Promise(resolve => {
        release = resolve;
    });
    write(1);
    await wait(10);
    write(32);
    release();
    await wait(60_000);
    expect(store.keys.size).toBe(33);
});

test("a record is written under another lease if its lease has ended", async () => {
    write(1);
    await wait(10);
    store.lastEndedLease = 1;
    write(1);
    await wait(10);
    expect([...store.keys]).toEqual([["key-0", 1], ["key-1", 2]]);
});

test("a loss of many servers costs two writes a second after a burst", async () => {
    write(20);
    await wait(1_000);
    expect(store.keys.size).toBeLessThanOrEqual(10);
    await wait(10_000);
    expect(store.keys.size).toBe(20);
});
