/** Who shares the fixed part of the retry budget. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import type { ConditionalWrite, MetadataStore } from "../../../src/domain/gateway/metadata-store.js";
import { RouterDirectory } from "../../../src/process/gateway/router-directory.js";

const address = { host: "10.0.0.1", port: 1 };
const routers = (...names: string[]) => new Map(names.map(name => [name, address] as const));
const shareMilliseconds = 60_000;
let storeAnswers: boolean;
let writes: string[];
let directory: RouterDirectory;

beforeEach(async () => {
    storeAnswers = true;
    writes = [];
    const call = async () => {
        if (!storeAnswers) {
            throw new TypeError("the store does not answer");
        }
        return 1;
    };
    const commit = async (write: ConditionalWrite) => {
        writes.push(...write.writes.map(({ key, leaseId }) => `${key} ${leaseId}`));
        return true;
    };
    const store = { grantLease: call, renewLease: call, revokeLease: call, commit } as unknown as MetadataStore;
    directory = new RouterDirectory(store, "routers/", "started", "own", address, new SilentLogger());
    await directory.start();
});
afterEach(() => directory.stop());

// A router that did not know the others yet took all of the budget for itself.
test("nobody is counted before the routers have been read, and this router registers only then", async () => {
    await jest.advanceTimersByTimeAsync(1_000);
    expect([directory.budgetSharers, directory.mayHaveFormerProcess, writes]).toEqual([undefined, true, []]);
    directory.replaceAll(routers("a", "b"), false);
    await jest.advanceTimersByTimeAsync(1);
    expect([directory.budgetSharers, directory.mayHaveFormerProcess]).toEqual([2, false]);
    expect(writes).toEqual(["routers/own 1", "started undefined"]);
});

test("a fleet that had started before this process read the store may have had a process of this router", () => {
    directory.replaceAll(routers("a"), true);
    expect(directory.mayHaveFormerProcess).toBe(true);
    directory.replaceAll(routers("a"), false);
    expect(directory.mayHaveFormerProcess).toBe(true);
});

test("routers whose registration ends are counted for a minute more, however long nobody asked", async () => {
    directory.replaceAll(routers("a", "b", "own"), false);
    await jest.advanceTimersByTimeAsync(5 * shareMilliseconds);
    directory.replaceAll(routers("own"), false);
    expect(directory.budgetSharers).toBe(3);
    await jest.advanceTimersByTimeAsync(shareMilliseconds - 1_000);
    expect(directory.budgetSharers).toBe(3);
    directory.put("a", address);
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBe(2);
});

test("a router that the others may no longer count has no share", async () => {
    directory.replaceAll(routers("a", "own"), false);
    await jest.advanceTimersByTimeAsync(10);
    storeAnswers = false;
    await jest.advanceTimersByTimeAsync(shareMilliseconds - 1_000);
    expect(directory.budgetSharers).toBe(2);
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBeUndefined();
    storeAnswers = true;
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBe(2);
});
