/** How many routers of a fleet write a block again that the store has lost. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { SeededRandom } from "../../../../src/common/random.js";
import type { LeasedRecord } from "../../../../src/process/gateway/prompt-quarantine/leased-record-writer.js";
import { QuarantineRestoration } from "../../../../src/process/gateway/prompt-quarantine/quarantine-restoration.js";

const block: LeasedRecord = { key: "blocks/bad", value: Buffer.from("{}"), leaseMilliseconds: 400_000 };
/** Time until a write has been read by every router. */
const propagationMilliseconds = 800;

let firstWrittenAt: number | undefined;
let written: number;
let storeAccepts: boolean;

beforeEach(() => {
    jest.useFakeTimers();
    firstWrittenAt = undefined;
    written = 0;
    storeAccepts = true;
});
afterEach(() => void jest.useRealTimers());

const isSeenByAll = () => firstWrittenAt !== undefined && performance.now() - firstWrittenAt >= propagationMilliseconds;

function restore(routerCount: number, random: SeededRandom, signal = new AbortController().signal): Promise<number> {
    const write = () => {
        written++;
        firstWrittenAt ??= storeAccepts ? performance.now() : undefined;
    };
    return new QuarantineRestoration({
        quarantine: {
            get unstoredBlocks() {
                return isSeenByAll() ? [] : [block];
            },
            takeLostEvidence: () => [],
        },
        blockWriter: { write, waitUntilWritten: () => Promise.resolve() },
        evidenceWriter: { write: () => undefined, waitUntilWritten: () => Promise.resolve() },
        routerCount: () => routerCount,
        random,
    }).restore(signal);
}

test.each([1, 3, 15, 133, 360])(
    "a few of %d routers write it, and it is in the store within 3 s",
    async routerCount => {
        for (let seed = 1; seed <= 10; seed++) {
            firstWrittenAt = undefined;
            written = 0;
            const random = new SeededRandom(seed);
            const startedAt = performance.now();
            const restorations = Array.from({ length: routerCount }, () => restore(routerCount, random));
            await jest.advanceTimersByTimeAsync(4_000);
            await Promise.all(restorations);
            expect(firstWrittenAt! - startedAt).toBeLessThanOrEqual(3_000);
            expect(written).toBeLessThanOrEqual(Math.min(routerCount, 15));
        }
    },
);

test("a restoration that is overtaken by the next return of the store writes nothing", async () => {
    const overtaken = new AbortController();
    const result = restore(1_000_000, new SeededRandom(1), overtaken.signal);
    overtaken.abort();
    expect([await result, written]).toEqual([0, 0]);
});
