import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import {
    PlatformUnavailableError,
    PushConflictError,
    PushUnsettledError,
    SheetInvalidError,
    VersionNotFoundError,
} from "../../../src/errors/index.js";
import { chunkBytes } from "../../../src/process/configuration/stored-record.js";
import { Availability } from "../../../src/stand-ins/platform/index.js";
import { advanceAndAwait, FleetFixture, sheetOf } from "./fleet-fixture.js";

let fleet: FleetFixture;

beforeEach(() => {
    fleet = new FleetFixture();
});

afterEach(async () => {
    await fleet.stop();
});

const request = (rate: number, author = "planner") => ({ sheet: sheetOf(rate), author });

describe("PushService", () => {
    test("of two concurrent pushes one is accepted; the other fails with the winner and the differences", async () => {
        const pushes = [
            fleet.createPushService().push(request(1, "one")),
            fleet.createPushService().push(request(2, "two")),
        ];
        const results = await advanceAndAwait(Promise.allSettled(pushes), 10);
        const refused = results.flatMap(result => result.status === "rejected" ? [result.reason as unknown] : []);
        expect(refused).toHaveLength(1);
        expect(refused[0]).toBeInstanceOf(PushConflictError);
        expect(refused[0]).toMatchObject({
            winner: { version: 1, author: "one" },
            differences: [{
                kind: "weight-store",
                cells: [{ column: "megabytes_per_second", before: "1", after: "2" }],
            }],
        });
        expect(await fleet.createPushService().history(9)).toHaveLength(1);
    });

    test("refuses a push whose parent is older than the head", async () => {
        await fleet.createPushService().push(request(1));
        await fleet.createPushService().push(request(2));
        await expect(fleet.createPushService().push({ ...request(3), parent: 1 })).rejects.toThrow(PushConflictError);
    });

    test("recognizes a push as accepted after its response was lost", async () => {
        const platform = fleet.platform.createClient();
        platform.faults.responsesToLose = 1;
        expect(await advanceAndAwait(fleet.createPushService(platform).push(request(1)), 1_000)).toMatchObject({
            version: 1,
        });
        expect((await fleet.createPushService().history(9)).map(record => record.pushId)).toEqual(["push-1"]);
    });

    test("recognizes a push as accepted after its response was lost and another push followed", async () => {
        const platform = fleet.platform.createClient();
        platform.faults.responsesToLose = 1;
        const first = fleet.createPushService(platform).push(request(1));
        await jest.advanceTimersByTimeAsync(10);
        await fleet.createPushService().push(request(2));
        expect(await advanceAndAwait(first, 1_000)).toMatchObject({ version: 1, pushId: "push-1" });
    });

    test("an outage during a push leaves it unsettled; an outage before it fails it as unavailable", async () => {
        const platform = fleet.platform.createClient();
        platform.faults.responsesToLose = 1;
        const unsettled = fleet.createPushService(platform).push(request(1));
        unsettled.catch(() => undefined);
        await jest.advanceTimersByTimeAsync(10);
        platform.faults.availability = Availability.refusing;
        await expect(advanceAndAwait(unsettled, 30_000)).rejects.toThrow(PushUnsettledError);
        await expect(fleet.createPushService(platform).push(request(2))).rejects.toThrow(PlatformUnavailableError);
    });

    test("does not write an invalid sheet", async () => {
        await expect(fleet.createPushService().push({ sheet: "kind\ntruck", author: "x" })).rejects.toThrow(
            SheetInvalidError,
        );
        expect(await fleet.createPushService().history(9)).toEqual([]);
    });

    test("reports which routers have applied a version and which have not confirmed it", async () => {
        fleet.add(true);
        const isolated = fleet.add(true);
        await advanceAndAwait(Promise.all(fleet.routers.map(router => router.store.start())), 4_000);
        isolated.platform.faults.availability = Availability.hanging;
        fleet.groups.set(isolated.id, 1);
        const pushService = fleet.createPushService();
        const { version } = await advanceAndAwait(pushService.push(request(1)), 10);
        const report = await advanceAndAwait(pushService.awaitActivation(version, 5_000), 6_000);
        expect(report.confirmed.map(each => each.routerId)).toEqual(["router-0"]);
        expect(report.unconfirmed.map(each => each.routerId)).toEqual(["router-1"]);
    });

    test("shows and compares old versions, and rolls back by pushing an old version as a new one", async () => {
        const pushService = fleet.createPushService();
        await pushService.push(request(1));
        await pushService.push(request(2));
        expect(await pushService.show(1)).toMatchObject({ sheet: sheetOf(1), record: { version: 1, parent: 0 } });
        expect(await pushService.diff(sheetOf(2))).toEqual([]);
        expect(await pushService.rollBack(1, "operator")).toMatchObject({ version: 3, parent: 2, author: "operator" });
        expect(await pushService.show()).toMatchObject({ sheet: sheetOf(1) });
        await expect(pushService.show(9)).rejects.toThrow(VersionNotFoundError);
    });

    test("retains the configured number of versions and removes older ones with their chunks", async () => {
        const pushService = fleet.createPushService();
        for (let rate = 1; rate <= pushService.keptVersionTotal + 5; rate++) {
            await pushService.push(request(rate));
        }
        const records = await pushService.history(Number.MAX_SAFE_INTEGER);
        expect(records).toHaveLength(pushService.keptVersionTotal);
        expect(records.at(-1)?.version).toBe(6);
        const keys = await fleet.platform.list("pomelostall/configuration/chunks/", 1_000);
        expect(keys).toHaveLength(pushService.keptVersionTotal);
    });

    test("stores a sheet over the platform's value limit in chunks", async () => {
        // Pseudo-random characters, so that the compressed sheet stays over the limit.
        let state = 1;
        const noise = Array.from({ length: 2 * chunkBytes }, () => {
            state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
            return String.fromCharCode(48 + (state >>> 16) % 64);
        }).join("");
        const sheet = `kind,megabytes_per_second,comment\nweight-store,1,"${noise.replaceAll('"', "")}"\n`;
        await fleet.createPushService().push({ sheet, author: "planner" });
        const chunks = await fleet.platform.list("pomelostall/configuration/chunks/", 1_000);
        expect(chunks.length).toBeGreaterThan(1);
        expect((await fleet.createPushService().show()).sheet).toBe(sheet);
    });
});
