import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { headKey } from "../../../src/process/configuration/stored-record.js";
import { Availability, type StandInPlatform } from "../../../src/stand-ins/platform/index.js";
import { advanceAndAwait, FleetFixture, type RouterFixture, sheetOf } from "./fleet-fixture.js";

const maximumActivationMilliseconds = 3_000;

let fleet: FleetFixture;

beforeEach(() => {
    fleet = new FleetFixture();
});

afterEach(async () => {
    await fleet.stop();
});

async function startFleet(total: number, watchers: number): Promise<void> {
    for (let index = 0; index < total; index++) {
        fleet.add(index < watchers);
    }
    await advanceAndAwait(Promise.all(fleet.routers.map(router => router.store.start())), 4_000);
}

async function push(rate: number): Promise<number> {
    return (await advanceAndAwait(fleet.createPushService().push({ sheet: sheetOf(rate), author: "planner" }), 10))
        .version;
}

function versions(routers: readonly RouterFixture[] = fleet.routers): number[] {
    return routers.map(router => router.store.current.version);
}

function setFaults(routers: readonly RouterFixture[], faults: Partial<StandInPlatform["faults"]>): void {
    routers.forEach(router => Object.assign(router.platform.faults, faults));
}

describe("ConfigurationStore", () => {
    test("applies a push in every router and publishes each version on the stream", async () => {
        await startFleet(5, 2);
        expect(await push(1)).toBe(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        await push(2);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(versions()).toEqual([2, 2, 2, 2, 2]);
        expect(fleet.routers.map(router => router.applied)).toEqual(Array(5).fill([1, 2]));
        expect(fleet.routers[4]!.store.current).toMatchObject({ parent: 1, author: "planner", pushId: "push-2" });
        expect(fleet.routers[4]!.store.current.weightStore.bytesPerSecond).toBe(2_000_000);
    });

    const faults: [string, () => void][] = [
        ["every watch is silent", () => {
            fleet.routers.forEach(router => router.platform.silenceOpenWatches());
            setFaults(fleet.routers, { silentWatches: true });
        }],
        ["the platform is slow", () => setFaults(fleet.routers, { latencyMilliseconds: 900 })],
        ["the platform is slow and watches are silent", () => {
            fleet.routers.forEach(router => router.platform.silenceOpenWatches());
            setFaults(fleet.routers, { latencyMilliseconds: 600, silentWatches: true });
        }],
        ["no watching router can reach the platform", () => {
            setFaults(fleet.routers.slice(0, 2), { availability: Availability.hanging });
        }],
        ["only one router can reach the platform", () => {
            setFaults(fleet.routers.slice(0, 4), { availability: Availability.refusing });
        }],
    ];

    test.each(faults)("every router applies a push within 3 s while %s", async (_fault, injectFault) => {
        await startFleet(5, 2);
        injectFault();
        await push(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(versions()).toEqual([1, 1, 1, 1, 1]);
    });

    test("in a partition, the side with the platform applies a push; the other follows after it heals", async () => {
        await startFleet(4, 2);
        const partitioned = fleet.routers.slice(2);
        partitioned.forEach(router => fleet.groups.set(router.id, 2));
        setFaults(partitioned, { availability: Availability.hanging });
        await push(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(versions()).toEqual([1, 1, 0, 0]);
        fleet.groups.clear();
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(versions()).toEqual([1, 1, 1, 1]);
    });

    test("a router that starts during a platform outage applies the highest version of its peers", async () => {
        await startFleet(2, 1);
        await push(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        const late = fleet.add(true);
        late.platform.faults.availability = Availability.hanging;
        await advanceAndAwait(late.store.start(), 4_000);
        expect(late.store.current.version).toBe(1);
    });

    test("stale data from the platform neither reverts a router nor changes the head", async () => {
        await startFleet(3, 3);
        await push(1);
        fleet.routers.forEach(router => router.platform.saveSnapshot());
        await push(2);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        setFaults(fleet.routers, { staleReads: true });
        await jest.advanceTimersByTimeAsync(20_000);
        setFaults(fleet.routers, { staleReads: false });
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(fleet.routers.map(router => router.applied)).toEqual(Array(3).fill([1, 2]));
        expect((await fleet.createPushService().history(9)).map(record => record.version)).toEqual([2, 1]);
    });

    test("routers write the head again after the platform lost data, and later pushes continue from it", async () => {
        await startFleet(3, 2);
        await push(1);
        const snapshot = fleet.platform.saveSnapshot();
        await push(2);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        fleet.platform.restoreSnapshot(snapshot);
        await jest.advanceTimersByTimeAsync(5_000);
        const shown = await fleet.createPushService().show();
        expect(shown).toMatchObject({ record: { version: 2 }, sheet: sheetOf(2) });
        expect(await push(3)).toBe(3);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(fleet.routers.map(router => router.applied)).toEqual(Array(3).fill([1, 2, 3]));
    });

    test("a push right after the platform lost data gets a higher number than the active version", async () => {
        await startFleet(3, 2);
        await push(1);
        await push(2);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        fleet.platform.restoreSnapshot({ entries: new Map(), revision: 1 });
        expect(await push(3)).toBe(3);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(versions()).toEqual([3, 3, 3]);
    });

    test("a corrupt version or head does not replace the active version", async () => {
        await startFleet(1, 1);
        await push(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        const [router] = fleet.routers;
        const record = { version: 2, pushId: "x", parent: 1, author: "x", acceptedAt: "" };
        expect(() => router!.store.applyIfNewer({ record, compressedSheet: new Uint8Array([1, 2]) })).toThrow();
        const value = new TextEncoder().encode("not a head");
        await fleet.platform.transact({ conditions: [], writes: [{ kind: "put", key: headKey, value }] }, 1_000);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(router!.applied).toEqual([1]);
    });

    test("only selected routers keep a watch, and the fleet's polls stay within the platform's rates", async () => {
        await startFleet(60, 16);
        await push(1);
        await jest.advanceTimersByTimeAsync(maximumActivationMilliseconds);
        expect(new Set(versions())).toEqual(new Set([1]));
        expect(fleet.platform.counts.watches).toBeLessThanOrEqual(16);
        fleet.platform.counts.reset();
        await jest.advanceTimersByTimeAsync(10_000);
        expect(fleet.platform.counts.total / 10).toBeLessThan(16 * 2 + 70);
    });
});
