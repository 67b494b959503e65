import { describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { ChangeBatch, ItemPage, MetadataStore } from "../../../src/domain/gateway/metadata-store.js";
import type { StorePosition } from "../../../src/domain/gateway/store-position.js";
import { HistoryLostError, PlatformUnavailableError } from "../../../src/errors/index.js";
import { StoreWatcher } from "../../../src/process/gateway/store-watcher.js";
import { at, createStoreEra } from "../../support/store-positions.js";

/** Answers each call with the next step of a script; calls after the last step never complete. */
class ScriptedStore implements Partial<MetadataStore> {
    readonly calls: string[] = [];

    constructor(private readonly script: (ItemPage | ChangeBatch | Error)[]) {}

    readPage(): Promise<ItemPage> {
        this.calls.push("page");
        return this.next() as Promise<ItemPage>;
    }

    readChanges(_prefix: string, after: StorePosition): Promise<ChangeBatch> {
        this.calls.push(`changes ${after.revision}`);
        return this.next() as Promise<ChangeBatch>;
    }

    close(): void {}

    private next(): Promise<unknown> {
        const step = this.script.shift();
        if (step === undefined) {
            return new Promise(() => undefined);
        }
        return step instanceof Error ? Promise.reject(step) : Promise.resolve(step);
    }
}

function startWatcher(script: (ItemPage | ChangeBatch | Error)[]) {
    const store = new ScriptedStore(script);
    const received: string[] = [];
    const watcher = new StoreWatcher(
        store as unknown as MetadataStore,
        "",
        createStoreEra(),
        {
            replaceAll: (items, { revision }, afterOutage) =>
                received.push(`all ${items.length}@${revision} ${afterOutage}`),
            applyChanges: changes =>
                received.push(`changes ${changes.map(({ position }) => position.revision).join(",")}`),
        },
        new SeededRandom(1),
        () => 200,
        new SilentLogger(),
    );
    void watcher.start();
    return { store, received, watcher };
}

const page = (revision: number): ItemPage => ({ items: [], hasMore: false, position: at(revision) });
const change = (revision: number): ChangeBatch => ({
    changes: [{ key: "k", position: at(revision), value: Buffer.from("v") }],
    position: at(revision),
});

describe("StoreWatcher", () => {
    test("each read of changes begins at the last revision", async () => {
        const { store, received } = startWatcher([page(5), change(7), { changes: [], position: at(9) }]);
        await jest.advanceTimersByTimeAsync(1_000);
        expect(received).toEqual(["all 0@5 false", "changes 7"]);
        expect(store.calls).toEqual(["page", "changes 5", "changes 7", "changes 9"]);
    });

    test("reads everything again when the store's history was lost, without reporting an outage", async () => {
        const { received } = startWatcher([page(5), new HistoryLostError(5), page(20)]);
        await jest.advanceTimersByTimeAsync(2_000);
        expect(received).toEqual(["all 0@5 false", "all 0@20 false"]);
    });

    test("reads everything again after a failure, since a long poll may have missed changes", async () => {
        const down = new PlatformUnavailableError("down", false);
        const { store, received, watcher } = startWatcher([page(5), down, down, page(30)]);
        await jest.advanceTimersByTimeAsync(220);
        expect(watcher.unavailableSince).toBeDefined();
        await jest.advanceTimersByTimeAsync(2_000);
        expect(received).toEqual(["all 0@5 false", "all 0@30 true"]);
        expect(store.calls.filter(call => call.startsWith("changes"))).toEqual(["changes 5", "changes 30"]);
        expect(watcher.unavailableSince).toBeUndefined();
    });

    test("makes 18 to 45 calls in 10 s while the store is unavailable", async () => {
        const failures = Array.from({ length: 100 }, () => new PlatformUnavailableError("down", false));
        const { store } = startWatcher(failures);
        await jest.advanceTimersByTimeAsync(10_000);
        expect(store.calls.length).toBeLessThanOrEqual(45);
        expect(store.calls.length).toBeGreaterThanOrEqual(18);
    });
});
