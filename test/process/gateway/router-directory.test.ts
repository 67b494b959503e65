/** Who shares the fixed part of the retry budget. */
import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { delay } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { ConditionalWrite, MetadataStore } from "../../../src/domain/gateway/metadata-store.js";
import type { SocketAddress } from "../../../src/domain/gateway/server-entry.js";
import type { StoreLease } from "../../../src/domain/gateway/store-position.js";
import type { ProcessRecords } from "../../../src/process/gateway/process-records.js";
import { FormerProcess, RouterDirectory } from "../../../src/process/gateway/router-directory.js";
import type { StoreEra } from "../../../src/process/gateway/store-era.js";
import { ReadContext } from "../../../src/process/gateway/store-observer.js";
import { createStoreEra } from "../../support/store-positions.js";

const address = { host: "10.0.0.1", port: 1 };
const routers = (...names: string[]) => new Map(names.map(name => [name, address] as const));
const shareMilliseconds = 60_000;
const windowMilliseconds = 10_000;
const first: ProcessRecords = { fleetHasStarted: false, byRouter: new Map() };
const settledBy = (...names: string[]): ProcessRecords => ({
    fleetHasStarted: true,
    byRouter: new Map(names.map(name => [name, { settled: true, era: era.current, configurationVersion: 7 }])),
});
const replaceAll = (list: ReadonlyMap<string, SocketAddress>, records: ProcessRecords): void =>
    directory.replaceAll(list, records, ReadContext.continuous);
let era: StoreEra;
let leases: number;
let renewed: number[];
let revoked: number[];
let commitMilliseconds: number;
let storeAnswers: boolean;
let writes: string[];
let directory: RouterDirectory;

beforeEach(async () => {
    era = createStoreEra();
    leases = 0;
    renewed = [];
    revoked = [];
    commitMilliseconds = 0;
    storeAnswers = true;
    writes = [];
    directory = createDirectory(true);
    await directory.start();
});
afterEach(() => directory.stop());

function createDirectory(mayBeFirstFleetStart: boolean): RouterDirectory {
    const call = async () => {
        if (!storeAnswers) {
            throw new TypeError("the store does not answer");
        }
        return { id: ++leases, era: era.current };
    };
    const commit = async (write: ConditionalWrite) => {
        if (commitMilliseconds > 0) {
            await delay(commitMilliseconds);
        }
        writes.push(...write.writes.map(({ key, value, lease }) => `${key} ${value.toString()} ${lease?.id}`));
        return true;
    };
    const renewLease = async ({ id }: StoreLease) => {
        await call();
        renewed.push(id);
    };
    const revokeLease = async ({ id }: StoreLease) => void revoked.push(id);
    const store = { grantLease: call, renewLease, revokeLease, commit } as unknown as MetadataStore;
    return new RouterDirectory({
        store,
        era,
        keys: { routerPrefix: "routers/", processPrefix: "processes/", fleetStarted: "started" },
        ownName: "own",
        ownAddress: address,
        settlingMilliseconds: windowMilliseconds,
        mayBeFirstFleetStart,
        configurationVersion: () => 7,
        random: new SeededRandom(1),
        logger: new SilentLogger(),
    });
}

// A router that did not know the others yet took all of the budget for itself.
test("nobody is counted before the routers that start together are on the list, and this router registers once it is read", async () => {
    await jest.advanceTimersByTimeAsync(1_000);
    expect([directory.budgetSharers, directory.formerProcess, writes]).toEqual([undefined, FormerProcess.unknown, []]);
    replaceAll(routers("a"), first);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(directory.budgetSharers).toBeUndefined();
    directory.put("own", address);
    await jest.advanceTimersByTimeAsync(200);
    directory.put("b", address);
    expect(directory.budgetSharers).toBeUndefined();
    await jest.advanceTimersByTimeAsync(200);
    directory.remove("a");
    expect([directory.budgetSharers, directory.formerProcess]).toEqual([3, FormerProcess.none]);
    expect(writes).toEqual(["routers/own 10.0.0.1:1 1", "processes/own settled 0 7 1", "started 1 undefined"]);
});

test.each([
    ["settled", "own", FormerProcess.settled],
    ["new itself, or whose record is lost,", "a", FormerProcess.unknown],
])("a process after one that was %s records itself as new for a window", async (_case, settled, expected) => {
    replaceAll(routers("a"), settledBy(settled));
    await jest.advanceTimersByTimeAsync(1);
    expect(directory.formerProcess).toBe(expected);
    expect(writes).toContain("processes/own new 0 7 1");
    await jest.advanceTimersByTimeAsync(windowMilliseconds - 1_000);
    expect(writes).not.toContain("processes/own settled 0 7 1");
    await jest.advanceTimersByTimeAsync(5_000);
    expect(writes.filter(write => write === "processes/own settled 0 7 1")).toHaveLength(1);
    replaceAll(routers("a"), first);
    expect(directory.formerProcess).toBe(expected);
});

test("routers whose registration ends are counted for a minute more, however long nobody asked", async () => {
    replaceAll(routers("a", "b", "own"), first);
    await jest.advanceTimersByTimeAsync(5 * shareMilliseconds);
    replaceAll(routers("own"), first);
    expect(directory.budgetSharers).toBe(3);
    await jest.advanceTimersByTimeAsync(shareMilliseconds - 1_000);
    expect(directory.budgetSharers).toBe(3);
    directory.put("a", address);
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBe(2);
});

test("a router that the others may no longer count has no share", async () => {
    replaceAll(routers("a", "own"), first);
    await jest.advanceTimersByTimeAsync(1_000);
    storeAnswers = false;
    await jest.advanceTimersByTimeAsync(shareMilliseconds - 2_000);
    expect(directory.budgetSharers).toBe(2);
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBeUndefined();
    storeAnswers = true;
    await jest.advanceTimersByTimeAsync(2_000);
    expect(directory.budgetSharers).toBe(2);
});

describe("after the store has come back from an older copy", () => {
    const returnFromCopy = (list: ReadonlyMap<string, SocketAddress>) => {
        era.observe(2);
        directory.handleNewEra();
        directory.replaceAll(list, settledBy(), ReadContext.newEra);
    };
    const registrations = () => writes.filter(write => write.startsWith("routers/own"));

    beforeEach(async () => {
        era.observe(1);
        replaceAll(routers("a", "own"), first);
        await jest.advanceTimersByTimeAsync(1_000);
    });

    // A lease of the era before may be another router's by now.
    test("a router registers again under a new lease, and renews and revokes no lease of the era before", async () => {
        returnFromCopy(routers("a", "own"));
        await jest.advanceTimersByTimeAsync(100);
        expect(registrations()).toEqual(["routers/own 10.0.0.1:1 1", "routers/own 10.0.0.1:1 2"]);
        expect(writes).toContain("processes/own settled 2 7 2");
        await jest.advanceTimersByTimeAsync(8_000);
        await directory.stop();
        expect([renewed, revoked]).toEqual([[2, 2], [2]]);
    });

    test("the routers of a large fleet register one after the other", async () => {
        const names = Array.from({ length: 360 }, (_value, index) => `r${index}`);
        replaceAll(routers(...names, "own"), first);
        returnFromCopy(routers(...names, "own"));
        await jest.advanceTimersByTimeAsync(100);
        expect(registrations()).toHaveLength(1);
        await jest.advanceTimersByTimeAsync(3_600);
        expect(registrations()).toHaveLength(2);
    });

    test("routers that the copy does not hold stay on the list for 10 s, and are counted for a minute more", async () => {
        returnFromCopy(routers("own"));
        replaceAll(routers("own"), settledBy());
        await jest.advanceTimersByTimeAsync(9_900);
        expect([directory.count, directory.others.length]).toEqual([2, 1]);
        await jest.advanceTimersByTimeAsync(200);
        expect([directory.count, directory.others.length, directory.budgetSharers]).toEqual([1, 0, 2]);
    });

    test("a registration that is under way as the era ends does not count", async () => {
        commitMilliseconds = 200;
        returnFromCopy(routers("a", "own"));
        await jest.advanceTimersByTimeAsync(100);
        returnFromCopyOnceMore();
        let registered = false;
        void directory.waitForRegistration().then(() => {
            registered = true;
        });
        await jest.advanceTimersByTimeAsync(250);
        expect(registered).toBe(false);
        await jest.advanceTimersByTimeAsync(2_000);
        expect(registered).toBe(true);
        expect(registrations().at(-1)).toBe(`routers/own 10.0.0.1:1 ${leases}`);
    });

    function returnFromCopyOnceMore(): void {
        era.observe(3);
        directory.handleNewEra();
    }
});

test.each([
    ["of this era", 2, FormerProcess.settled],
    ["of an earlier era", 1, FormerProcess.unknown],
])("a process that starts trusts its record if that is %s", (_case, recordEra, expected) => {
    era.observe(2);
    const record = { settled: true, era: recordEra, configurationVersion: 7 };
    replaceAll(routers("a"), { fleetHasStarted: true, byRouter: new Map([["own", record]]) });
    expect(directory.formerProcess).toBe(expected);
});

test("a process that finds an empty store, beside routers that have been running for long, is not the fleet's first", () => {
    replaceAll(routers(), first);
    expect(directory.formerProcess).toBe(FormerProcess.none);
    directory.handleRunningFleet();
    expect(directory.formerProcess).toBe(FormerProcess.unknown);
});

test("a process that the platform does not start for the first time is not the fleet's first, whatever the store says", () => {
    const later = createDirectory(false);
    later.replaceAll(routers(), first, ReadContext.continuous);
    expect(later.formerProcess).toBe(FormerProcess.unknown);
});
