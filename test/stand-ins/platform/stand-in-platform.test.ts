import { describe, expect, jest, test } from "@jest/globals";
import type { VmEntry, WatchEvent } from "../../../src/domain/platform.js";
import { LeaseLostError } from "../../../src/errors/index.js";
import { Availability, StandInPlatform } from "../../../src/stand-ins/platform/index.js";

const timeout = 1_000;

function put(platform: StandInPlatform, key: string, leaseId?: string) {
    const value = new Uint8Array([1]);
    return platform.transact({ conditions: [], writes: [{ kind: "put", key, value, leaseId }] }, timeout);
}

async function advanceAndAwait<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value> {
    promise.catch(() => undefined);
    await jest.advanceTimersByTimeAsync(milliseconds);
    return promise;
}

describe("StandInPlatform", () => {
    test("a lease expires after its time to live unless kept alive", async () => {
        const platform = new StandInPlatform();
        const leaseId = await platform.grantLease(3_000, timeout);
        await put(platform, "held", leaseId);
        await jest.advanceTimersByTimeAsync(2_000);
        await platform.keepLeaseAlive(leaseId, timeout);
        await jest.advanceTimersByTimeAsync(2_000);
        expect(await platform.get("held", timeout)).toBeDefined();
        await jest.advanceTimersByTimeAsync(1_000);
        expect(await platform.get("held", timeout)).toBeUndefined();
        await expect(platform.keepLeaseAlive(leaseId, timeout)).rejects.toThrow(LeaseLostError);
    });

    test("a write that times out during its latency still takes effect", async () => {
        const platform = new StandInPlatform();
        platform.faults.latencyMilliseconds = 4_000;
        await expect(advanceAndAwait(put(platform, "a"), 1_000)).rejects.toMatchObject({ mayHaveTakenEffect: true });
        await jest.advanceTimersByTimeAsync(1_000);
        platform.faults.latencyMilliseconds = 0;
        expect(await platform.get("a", timeout)).toBeDefined();
    });

    test("silenced watches stay open without events, and new watches receive events", async () => {
        const platform = new StandInPlatform();
        const seen: string[] = [];
        const observe = (name: string) =>
            platform.watch("", 0).subscribe({
                next: (event: WatchEvent) => seen.push(`${name}:${event.entry.key}`),
                error: () => seen.push(`${name}:error`),
                complete: () => undefined,
            });
        observe("old");
        platform.silenceOpenWatches();
        await put(platform, "a");
        observe("new");
        await jest.advanceTimersByTimeAsync(1);
        expect(seen).toEqual(["new:a"]);
    });

    test("one client can be cut off or read stale data while another is unaffected", async () => {
        const platform = new StandInPlatform();
        const other = platform.createClient();
        platform.saveSnapshot();
        await put(platform, "a");
        other.faults.staleReads = true;
        expect(await other.get("a", timeout)).toBeUndefined();
        expect(await platform.get("a", timeout)).toBeDefined();
        other.faults.availability = Availability.hanging;
        await expect(advanceAndAwait(other.get("a", timeout), timeout)).rejects.toMatchObject({
            mayHaveTakenEffect: false,
        });
    });

    test("data can be reverted to a snapshot", async () => {
        const platform = new StandInPlatform();
        await put(platform, "a");
        const snapshot = platform.saveSnapshot();
        await put(platform, "b");
        platform.restoreSnapshot(snapshot);
        expect((await platform.list("", timeout)).map(entry => entry.key)).toEqual(["a"]);
    });

    test("a change of the VM list becomes visible after the configured delay", async () => {
        const platform = new StandInPlatform();
        platform.faults.vmListLagMilliseconds = 5_000;
        await jest.advanceTimersByTimeAsync(10);
        platform.setVms([{ id: "vm-1" } as VmEntry]);
        expect(await platform.vmList.list(timeout)).toEqual([]);
        await jest.advanceTimersByTimeAsync(5_000);
        expect(await platform.vmList.list(timeout)).toHaveLength(1);
    });
});
