import { beforeEach, expect, jest, test } from "@jest/globals";
import {
    BoundedMemoryLedger,
    type MemoryLedger,
    MemoryScope,
    UnboundedMemoryLedger,
} from "../../src/common/memory-ledger.js";

const megabyte = 1_048_576;
const capacityBytes = 16 * megabyte;
let ended: string[];
let ledger: BoundedMemoryLedger;

beforeEach(() => {
    ended = [];
    ledger = new BoundedMemoryLedger(capacityBytes, {
        levelChanged: () => undefined,
        releasedMuch: () => undefined,
        holderEnded: ({ owner }) => ended.push(owner),
    });
});

const open = (target: MemoryLedger, owner: string, essential = false) =>
    target.open({ kind: "request body", owner, essential, end: () => undefined });

/** Bodies of 4 MB that arrive in parts and stop just short of their end; returns what all of them hold. */
function sendStoppedBodies(target: MemoryLedger): number {
    const held = new Map<string, number>();
    for (let caller = 0; caller < 60; caller++) {
        const account = open(target, `caller ${caller}`);
        try {
            for (let bytes = 65_536; bytes < 4 * megabyte; bytes += 65_536) {
                account.resize(bytes);
                held.set(`caller ${caller}`, bytes);
            }
        }
        catch {
            held.delete(`caller ${caller}`);
        }
        jest.advanceTimersByTime(10);
    }
    ended.forEach(owner => held.delete(owner));
    return [...held.values()].reduce((sum, bytes) => sum + bytes, 0);
}

test("bodies that stop hold no more than the capacity, and without the ledger all that was sent", () => {
    expect(sendStoppedBodies(new UnboundedMemoryLedger())).toBeGreaterThan(10 * capacityBytes);
    expect(sendStoppedBodies(ledger)).toBeLessThanOrEqual(capacityBytes);
    expect(ledger.heldBytes).toBeLessThanOrEqual(capacityBytes);
});

test("an ordinary request finds room beside stopped bodies, and none of them is ended for it", () => {
    sendStoppedBodies(ledger);
    const endedBefore = ended.length;
    open(ledger, "ordinary").resize(4_096);
    expect(ended).toHaveLength(endedBefore);
});

test("small holders that fill everything give way to a new one, the slowest first", () => {
    for (let caller = 0; caller < 256; caller++) {
        open(ledger, `caller ${caller}`).resize(65_536);
        jest.advanceTimersByTime(10);
    }
    open(ledger, "ordinary").resize(4_096);
    expect(ended).toEqual(["caller 0"]);
});

test("a request that may have run is not ended, and what has no room beside it is refused", () => {
    const running = open(ledger, "running");
    running.resize(12 * megabyte);
    running.keep();
    expect(() => open(ledger, "late").resize(2 * megabyte)).toThrow(
        expect.objectContaining({ code: "memory-shortage", status: 503, outcome: "not-run" }),
    );
    expect(ended).toEqual(["late"]);
});

test("messages of the store end others and are not ended for them", () => {
    const page = open(ledger, "store", true);
    page.resize(8 * megabyte);
    open(ledger, "caller").resize(4 * megabyte);
    page.resize(14 * megabyte);
    expect(ended).toEqual(["caller"]);
    expect(() => open(ledger, "late").resize(4 * megabyte)).toThrow();
    expect(ended).toEqual(["caller", "late"]);
});

test("a closed scope holds nothing", () => {
    const scope = new MemoryScope(ledger);
    open(scope, "caller").resize(megabyte);
    open(scope, "server").resize(megabyte);
    scope.close();
    expect(ledger.heldBytes).toBe(0);
});
