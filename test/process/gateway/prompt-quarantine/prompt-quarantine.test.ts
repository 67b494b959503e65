import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../../src/common/logger.js";
import { SilentMetrics } from "../../../../src/common/metrics.js";
import type { StoredItem } from "../../../../src/domain/gateway/metadata-store.js";
import { ExplainingAwayAttribution } from "../../../../src/process/gateway/prompt-quarantine/crash-attribution.js";
import type { LeasedRecord } from "../../../../src/process/gateway/prompt-quarantine/leased-record-writer.js";
import { PromptQuarantine } from "../../../../src/process/gateway/prompt-quarantine/prompt-quarantine.js";
import { ReadContext } from "../../../../src/process/gateway/store-observer.js";
import { failures } from "../../../support/failures.js";
import { at } from "../../../support/store-positions.js";
import { serverEntry } from "../fixtures.js";

const blockKey = "blocks/bad";
let evidence: LeasedRecord[];
let blocks: LeasedRecord[];
let revision: number;
let warnings: string[];

class WarningLogger extends SilentLogger {
    override warn(message = ""): void {
        warnings.push(message);
    }
}

beforeEach(() => {
    jest.useFakeTimers();
    evidence = [];
    blocks = [];
    revision = 0;
    warnings = [];
});
afterEach(() => void jest.useRealTimers());

const createQuarantine = (witness = "router-1") =>
    new PromptQuarantine({
        witness,
        evidencePrefix: "crashes/",
        blockPrefix: "blocks/",
        attribution: new ExplainingAwayAttribution(),
        writeEvidence: record => evidence.push(record),
        writeBlock: record => blocks.push(record),
        configurationVersion: () => 1,
        failures,
        metrics: new SilentMetrics(),
        logger: new WarningLogger(),
    });
const stored = ({ key, value }: LeasedRecord): StoredItem => ({ key, value, position: at(++revision) });
const isBlocked = (quarantine: PromptQuarantine) => quarantine.findBlock(["common", "bad"]) !== undefined;
let nextServer = 1;

/** Lets servers crash one second apart. */
function crash(quarantine: PromptQuarantine, count: number, parts: readonly string[] = ["c0", "bad"]): void {
    for (let index = 0; index < count; index++) {
        quarantine.recordSuspect(serverEntry(`server-${nextServer++}`), parts, true);
        jest.advanceTimersByTime(1_000);
    }
}

test("a witness blocks the part at its third crash, before the store answers", () => {
    const quarantine = createQuarantine();
    crash(quarantine, 2);
    expect(isBlocked(quarantine)).toBe(false);
    crash(quarantine, 1);
    expect(quarantine.findBlock(["c1", "bad"])).toMatchObject({ part: "bad" });
    expect(quarantine.findBlock(["c0"])).toBeUndefined();
    expect(blocks.map(({ key }) => key)).toEqual([blockKey]);
});

test("a router that saw no attempt with the part break off leaves the decision to those that did", () => {
    const witness = createQuarantine();
    crash(witness, 3);
    const other = createQuarantine("router-2");
    other.replaceAll(evidence.slice(0, 1).map(stored), ReadContext.continuous);
    jest.advanceTimersByTime(2_000);
    evidence.slice(1).forEach(record => other.applyChange(stored(record)));
    crash(other, 1, ["d0"]);
    expect(isBlocked(other)).toBe(false);
    crash(other, 1);
    expect(isBlocked(other)).toBe(true);
});

test("a part that succeeds far more often than it is near crashes is not blocked", () => {
    const quarantine = createQuarantine();
    Array.from({ length: 40 }).forEach(() => quarantine.recordSuccess(["bad"]));
    crash(quarantine, 5, ["bad"]);
    expect(isBlocked(quarantine)).toBe(false);
});

test("successes of more than ten minutes ago do not clear a part", () => {
    const quarantine = createQuarantine();
    Array.from({ length: 40 }).forEach(() => quarantine.recordSuccess(["bad"]));
    jest.advanceTimersByTime(600_000);
    crash(quarantine, 3, ["bad"]);
    expect(isBlocked(quarantine)).toBe(true);
});

test("crashes of more than ten minutes ago do not count", () => {
    const quarantine = createQuarantine();
    crash(quarantine, 2);
    jest.advanceTimersByTime(600_000);
    crash(quarantine, 1);
    expect(isBlocked(quarantine)).toBe(false);
});

test("one crash is reported once for the same parts, however many attempts broke off", () => {
    const quarantine = createQuarantine();
    const server = serverEntry("server");
    quarantine.recordSuspect(server, ["a1"], true);
    quarantine.recordSuspect(server, ["a1"], true);
    quarantine.recordSuspect(server, [], true);
    expect(evidence).toHaveLength(1);
    quarantine.recordSuspect(server, ["a1", "b1"], true);
    quarantine.recordSuspect({ ...server, bornAt: 2 }, ["a1"], true);
    expect(evidence).toHaveLength(3);
});

test("a crash under parts that mostly succeed is not written to the store", () => {
    const quarantine = createQuarantine();
    Array.from({ length: 40 }).forEach(() => quarantine.recordSuccess(["a1", "b1"]));
    quarantine.recordSuspect(serverEntry("server"), ["a1", "b1"], true);
    expect(evidence).toEqual([]);
    quarantine.recordSuspect(serverEntry("server"), ["a1", "new"], true);
    expect(evidence).toHaveLength(1);
});

// A router blocked a sound part under which its requests broke off, before it learnt of the request at fault elsewhere.
test("a part that another router's evidence explains is not blocked, though that arrives later", () => {
    const quarantine = createQuarantine();
    const other = createQuarantine("router-2");
    const servers = [1, 2, 3].map(number => serverEntry(`shared-${number}`));
    const arrive = () => evidence.splice(0).map(stored).forEach(item => quarantine.applyChange(item));
    for (const server of servers) {
        quarantine.recordSuspect(server, ["c0", "c1"], true);
        other.recordSuspect(server, ["c0", "bad"], true);
        jest.advanceTimersByTime(700);
        expect(quarantine.findBlock(["c0", "c1"])).toBeUndefined();
        arrive();
        jest.advanceTimersByTime(100);
    }
    jest.advanceTimersByTime(1_000);
    expect(quarantine.findBlock(["c0", "c1"])).toBeUndefined();
    expect(isBlocked(other)).toBe(true);
});

// Evidence of more than 32 parts was refused, and only the last 1,000 parts that a router had seen could be blocked.
test("a part is blocked wherever it stands among thousands, by each router that has seen a crash under it", () => {
    const others = (name: string) => Array.from({ length: 5_000 }, (_value, index) => `${name}${index.toString(16)}`);
    const parts = ["bad", ...others("a"), ...others("c")];
    const first = createQuarantine("router-1");
    const second = createQuarantine("router-2");
    crash(first, 2, parts);
    crash(second, 1, parts);
    second.replaceAll(evidence.map(stored), ReadContext.continuous);
    jest.advanceTimersByTime(1_000);
    others("a").forEach(part => second.recordSuccess([part]));
    others("c").forEach(part => second.recordSuccess([part]));
    crash(second, 1, parts);
    jest.advanceTimersByTime(1_000);
    expect(second.findBlock(["bad"])).toBeDefined();
    expect(second.findBlock(others("a"))).toBeUndefined();
    expect(warnings).toEqual([]);
});

test("a block ends after ten minutes, and the part is tried again", () => {
    const quarantine = createQuarantine();
    quarantine.applyChange({ key: blockKey, position: at(1), value: Buffer.from("") });
    jest.advanceTimersByTime(599_000);
    expect(quarantine.findBlock(["bad"])?.remainingMilliseconds).toBeCloseTo(1_000, 0);
    quarantine.replaceAll([{ key: blockKey, position: at(1), value: Buffer.from("") }], ReadContext.continuous);
    jest.advanceTimersByTime(1_000);
    expect(isBlocked(quarantine)).toBe(false);
});

test("a lifted block stays lifted until the part crashes another server", () => {
    const quarantine = createQuarantine();
    Array.from({ length: 40 }).forEach(() => quarantine.recordSuccess(["c0"]));
    crash(quarantine, 3);
    quarantine.applyChange(stored(blocks[0]!));
    quarantine.applyChange({ key: blockKey, position: at(++revision), value: undefined });
    crash(quarantine, 1, ["c0", "d0"]);
    expect(isBlocked(quarantine)).toBe(false);
    crash(quarantine, 1);
    expect(isBlocked(quarantine)).toBe(true);
});

test("a full read keeps a block whose key is not yet stored, and ends one whose key has left the store", () => {
    const quarantine = createQuarantine();
    crash(quarantine, 3);
    quarantine.replaceAll([], ReadContext.continuous);
    expect(isBlocked(quarantine)).toBe(true);
    quarantine.replaceAll(blocks.map(stored), ReadContext.continuous);
    expect(isBlocked(quarantine)).toBe(true);
    quarantine.replaceAll([], ReadContext.continuous);
    expect(isBlocked(quarantine)).toBe(false);
});

test("the latest counts of a witness apply after a full read, in whatever order the store lists its keys", () => {
    const witness = createQuarantine("router-2");
    crash(witness, 3, ["c0"]);
    Array.from({ length: 40 }).forEach(() => witness.recordSuccess(["c0"]));
    crash(witness, 1, ["c0"]);
    const quarantine = createQuarantine();
    quarantine.replaceAll(evidence.map(stored).reverse(), ReadContext.continuous);
    jest.advanceTimersByTime(2_000);
    crash(quarantine, 1, ["c0"]);
    expect(quarantine.findBlock(["c0"])).toBeUndefined();
});

test.each([
    "",
    "{",
    "null",
    "[]",
    '{"parts":1}',
    JSON.stringify({ serverStart: "s@1", witness: "w", parts: [{ id: "x y", successes: 0 }] }),
])(
    "the malformed evidence %j is ignored and logged",
    value => {
        const quarantine = createQuarantine();
        expect(quarantine.applyChange({ key: "crashes/1", position: at(1), value: Buffer.from(value) })).toBe(true);
        expect(warnings).toEqual(["crash evidence cannot be decoded; ignored"]);
    },
);

test.each(["", "x y", "g", "a".repeat(65)])("the key %j names no part, is ignored and logged", name => {
    const quarantine = createQuarantine();
    expect(quarantine.applyChange({ key: `blocks/${name}`, position: at(1), value: Buffer.from("1") })).toBe(true);
    expect(quarantine.findBlock([name])).toBeUndefined();
    expect(warnings).toEqual(["key of a blocked prompt part cannot be decoded; ignored"]);
});

test("keys of others are left to others", () => {
    expect(createQuarantine().applyChange({ key: "routers/edge-1", position: at(1), value: undefined })).toBe(false);
});

describe("after the store has come back from an older copy", () => {
    const returnWith = (quarantine: PromptQuarantine, ...items: StoredItem[]) =>
        quarantine.replaceAll(items, ReadContext.newEra);
    const blockItem = (ofEra: number): StoredItem => ({
        key: blockKey,
        position: at(3, ofEra),
        value: Buffer.from(""),
    });

    // The block ended on all routers, and the part crashed engines again.
    test("a block whose key is missing goes on, with what is left of its time, and is to be written again", () => {
        const quarantine = createQuarantine();
        quarantine.applyChange({ key: blockKey, position: at(90, 1), value: Buffer.from("") });
        jest.advanceTimersByTime(100_000);
        returnWith(quarantine);
        expect(isBlocked(quarantine)).toBe(true);
        expect(quarantine.unstoredBlocks).toMatchObject([{ key: blockKey, leaseMilliseconds: 500_000 }]);
        quarantine.replaceAll([], ReadContext.continuous);
        expect(isBlocked(quarantine)).toBe(true);
        quarantine.applyChange({ key: blockKey, position: at(11, 2), value: Buffer.from("") });
        expect(quarantine.unstoredBlocks).toEqual([]);
        quarantine.replaceAll([], ReadContext.continuous);
        expect(isBlocked(quarantine)).toBe(false);
    });

    test("a block that has been lifted stays lifted, although the copy holds its key, until the key changes", () => {
        const quarantine = createQuarantine();
        quarantine.applyChange({ key: blockKey, position: at(90, 1), value: Buffer.from("") });
        quarantine.applyChange({ key: blockKey, position: at(95, 1), value: undefined });
        returnWith(quarantine, blockItem(2));
        quarantine.replaceAll([blockItem(2)], ReadContext.afterOutage);
        expect(isBlocked(quarantine)).toBe(false);
        expect(quarantine.unstoredBlocks).toEqual([]);
        expect(warnings).toEqual([
            "block was lifted before the store came back from a copy; delete its key once more",
        ]);
        quarantine.applyChange({ key: blockKey, position: at(12, 2), value: Buffer.from("") });
        expect(isBlocked(quarantine)).toBe(true);
    });

    test("evidence that this router had written, and no other, is to be written again", () => {
        const other = createQuarantine("router-2");
        crash(other, 1);
        const [others] = evidence.splice(0);
        const quarantine = createQuarantine();
        quarantine.applyChange(stored(others!));
        crash(quarantine, 2);
        const [kept, lost] = evidence;
        returnWith(quarantine, stored(kept!));
        expect(quarantine.takeLostEvidence()).toEqual([lost]);
        expect(quarantine.takeLostEvidence()).toEqual([]);
    });
});
