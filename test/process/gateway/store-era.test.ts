/** What the parts of a router do as the store comes back from an older copy: the era itself, the copy and its reader. */
import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { ChangeBatch, ItemPage, MetadataStore, StoredItem } from "../../../src/domain/gateway/metadata-store.js";
import type { StorePosition } from "../../../src/domain/gateway/store-position.js";
import { StoreCache } from "../../../src/process/gateway/store-cache.js";
import { type EraChange, StoreEra } from "../../../src/process/gateway/store-era.js";
import { StoreWatcher } from "../../../src/process/gateway/store-watcher.js";
import { at, createStoreEra } from "../../support/store-positions.js";

const item = (key: string, position: StorePosition, value = "v"): StoredItem => ({
    key,
    position,
    value: Buffer.from(value),
});
const page = (items: readonly StoredItem[], position: StorePosition, hasMore = false): ItemPage => ({
    items,
    position,
    hasMore,
});

describe("the era", () => {
    let warnings: string[];
    let counted: string[];
    let changes: EraChange[];
    let era: StoreEra;

    beforeEach(() => {
        warnings = [];
        counted = [];
        changes = [];
        const logger = Object.assign(new SilentLogger(), { warn: (message: string) => void warnings.push(message) });
        const metrics = Object.assign(new SilentMetrics(), { increment: (name: string) => void counted.push(name) });
        era = new StoreEra(metrics, logger);
        era.onChange(change => changes.push(change));
    });

    test("that is known first is no event, and a higher one is, also if one was missed", () => {
        expect([era.current, era.observe(4), era.current]).toEqual([0, 4, 4]);
        expect(changes).toEqual([]);
        expect(era.observe(4)).toBe(4);
        expect(era.observe(6)).toBe(6);
        expect(changes).toEqual([{ before: 4, after: 6 }]);
    });

    test("stays as it is with an answer that states none", () => {
        expect(era.observe(undefined)).toBe(0);
        expect(era.stated).toBeUndefined();
        era.observe(3);
        expect(era.observe(undefined)).toBe(3);
        expect(changes).toEqual([]);
    });

    test("that falls is never followed, is logged once and counted", () => {
        era.observe(3);
        for (const older of [2, 0, 2]) {
            expect(() => era.observe(older)).toThrow(expect.objectContaining({ code: "platform-answer-outdated" }));
        }
        expect([era.current, changes, warnings.length]).toEqual([3, [], 1]);
        expect(counted).toEqual(Array(3).fill("pomelostall.gateway.outdated_store_answers"));
        expect(era.observe(4)).toBe(4);
    });
});

describe("the copy of the store", () => {
    let received: string[];
    let cache: StoreCache;

    beforeEach(() => {
        received = [];
        cache = new StoreCache({
            replaceAll: (items, { era, revision }, context) =>
                received.push(`${items.map(({ key }) => key).join()} ${era}/${revision} ${context}`),
            applyChanges: changes => received.push(`changes ${changes.map(({ key }) => key).join()}`),
        });
        cache.replaceAll([item("a", at(90, 1))], at(100, 1), false);
        received.length = 0;
    });

    // Every read whose revision was below the highest one was thrown away.
    test("follows a new era although its revisions are lower", () => {
        cache.replaceAll([item("b", at(7, 2))], at(10, 2), false);
        cache.applyChanges([item("c", at(11, 2))], at(11, 2));
        expect(received).toEqual(["b 2/10 new-era", "changes c"]);
        expect(cache.position).toEqual(at(11, 2));
    });

    test("takes no read, snapshot or change of an earlier era, however high its revision", () => {
        cache.replaceAll([], at(10, 2), true);
        received.length = 0;
        cache.replaceAll([item("old", at(500, 1))], at(500, 1), true);
        cache.applyChanges([item("old", at(501, 1))], at(501, 1));
        expect(received).toEqual([]);
        expect(cache.snapshotAfter(at(500, 1))!.position).toEqual(at(10, 2));
        expect(cache.snapshotAfter(at(10, 2))).toBeUndefined();
    });

    test("takes no changes of a later era before a full read of it", () => {
        cache.applyChanges([item("c", at(101, 2))], at(101, 2));
        expect(received).toEqual([]);
        expect(cache.position).toEqual(at(100, 1));
    });

    test("is the first one, and no new era, with the first read", () => {
        const contexts: string[] = [];
        const first = new StoreCache({
            replaceAll: (_items, _position, context) => contexts.push(context),
            applyChanges: () => undefined,
        });
        first.replaceAll([], at(3, 5), false);
        expect(contexts).toEqual(["continuous"]);
    });
});

describe("the reader of the store", () => {
    let calls: string[];
    let received: string[];
    let era: StoreEra;

    /** Answers each call with the next step; calls after the last step never complete. */
    async function follow(script: (() => ItemPage | ChangeBatch)[]): Promise<void> {
        const next = (call: string): Promise<never> => {
            calls.push(call);
            const step = script.shift();
            return step === undefined ? new Promise(() => undefined) : Promise.resolve(step() as never);
        };
        const store: Partial<MetadataStore> = {
            readPage: (_prefix, afterKey) => next(`page ${afterKey ?? ""}`),
            readChanges: (_prefix, after) => next(`changes ${after.era}/${after.revision}`),
        };
        const watcher = new StoreWatcher(
            store as MetadataStore,
            "",
            era,
            {
                replaceAll: (items, position) =>
                    received.push(`all ${items.length} ${position.era}/${position.revision}`),
                applyChanges: changes => received.push(`changes ${changes.length}`),
            },
            new SeededRandom(1),
            () => 200,
            new SilentLogger(),
        );
        void watcher.start();
        await jest.advanceTimersByTimeAsync(2_000);
    }
    const stating = <Value extends { position: StorePosition; }>(value: Value) => () => {
        era.observe(value.position.era);
        return value;
    };
    const batch = (position: StorePosition): ChangeBatch => ({ changes: [item("k", position)], position });

    beforeEach(() => {
        calls = [];
        received = [];
        era = createStoreEra();
    });

    // A revision that exists again is no 410: its changes belong to another history.
    test("applies no changes of a new era to the contents of the one before, and reads all at once", async () => {
        await follow([stating(page([], at(100, 1))), stating(batch(at(130, 2))), stating(page([], at(131, 2)))]);
        expect(calls).toEqual(["page ", "changes 1/100", "page ", "changes 2/131"]);
        expect(received).toEqual(["all 0 1/100", "all 0 2/131"]);
    });

    test("reads all again if another answer has shown a new era meanwhile", async () => {
        const observeElsewhere = () => {
            era.observe(2);
            return { changes: [], position: at(100, 2) };
        };
        await follow([stating(page([], at(100, 1))), observeElsewhere, stating(page([], at(60, 2)))]);
        expect(received).toEqual(["all 0 1/100", "all 0 2/60"]);
    });

    test("takes no read whose pages are of two eras", async () => {
        await follow([
            stating(page([item("a", at(1, 1))], at(100, 1), true)),
            stating(page([item("b", at(2, 2))], at(60, 2))),
            stating(page([item("b", at(2, 2))], at(61, 2))),
        ]);
        expect(received).toEqual(["all 1 2/61"]);
    });
});
