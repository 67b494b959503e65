import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { ServerRegistry } from "../../../src/process/gateway/server-registry.js";
import { ReadContext } from "../../../src/process/gateway/store-observer.js";
import { at } from "../../support/store-positions.js";
import { serverEntry } from "./fixtures.js";

const expiryGraceMilliseconds = 1_700;
let registry: ServerRegistry;

const activeIds = () => registry.active("pool").map(({ id }) => id);
const replaceAll = (ids: readonly string[], revision: number, afterOutage: boolean) =>
    registry.replaceAll({
        entries: new Map(ids.map(id => [id, { entry: serverEntry(id), position: at(1) }])),
        position: at(revision),
        context: afterOutage ? ReadContext.afterOutage : ReadContext.continuous,
    });

beforeEach(() => {
    registry = new ServerRegistry(expiryGraceMilliseconds, new SilentLogger());
});

describe("ServerRegistry", () => {
    test("a draining server is not active, and is listed as recently leaving for a bounded time only", () => {
        registry.put(serverEntry("a"), at(1));
        registry.put(serverEntry("a", { draining: true }), at(2));
        expect(activeIds()).toEqual([]);
        expect(registry.recentlyLeaving("pool", 1_000)).toHaveLength(1);
        jest.advanceTimersByTime(900);
        registry.put(serverEntry("a", { draining: true, slots: 3 }), at(3));
        jest.advanceTimersByTime(200);
        expect(registry.recentlyLeaving("pool", 1_000)).toHaveLength(0);
    });

    test("changes with an older or equal revision are ignored", () => {
        registry.put(serverEntry("a", { draining: true }), at(5));
        registry.put(serverEntry("a"), at(4));
        expect(activeIds()).toEqual([]);
        registry.put(serverEntry("b"), at(6));
        registry.remove("b", at(6));
        expect(activeIds()).toEqual(["b"]);
    });

    test("entries that expired in an outage stay active for the grace period, and are removed after it", () => {
        replaceAll(["a", "b"], 10, false);
        replaceAll(["a"], 20, true);
        expect(activeIds()).toEqual(["a", "b"]);
        jest.advanceTimersByTime(expiryGraceMilliseconds + 1);
        expect(activeIds()).toEqual(["a"]);
    });

    test("a server that was draining before an outage does not become active again after it", () => {
        replaceAll(["a"], 10, false);
        registry.put(serverEntry("a", { draining: true }), at(11));
        replaceAll([], 20, true);
        expect(activeIds()).toEqual([]);
    });

    test("without an outage, servers that are missing in a full read are removed immediately", () => {
        replaceAll(["a", "b"], 10, false);
        replaceAll(["a"], 20, false);
        expect(activeIds()).toEqual(["a"]);
    });

    test("is not stable for a time after the first read and after outages", () => {
        expect(registry.stable).toBe(false);
        replaceAll(["a"], 10, false);
        expect(registry.stable).toBe(false);
        jest.advanceTimersByTime(2_500);
        expect(registry.stable).toBe(true);
        replaceAll(["a"], 20, true);
        expect(registry.stable).toBe(false);
    });

    test("a notice corrects layers and hides lost servers until it expires, for one start of a server only", () => {
        registry.put(serverEntry("a", { layers: { first: 0, last: 4 } }), at(1));
        registry.put(serverEntry("b"), at(1));
        const layers = { first: 5, last: 9 };
        registry.applyNotice([
            { id: "a", bornAt: 1, layers, lost: false },
            { id: "b", bornAt: 2, layers, lost: true },
        ]);
        expect(registry.active("pool")).toMatchObject([{ id: "a", layers }, { id: "b" }]);
        registry.applyNotice([{ id: "a", bornAt: 1, layers: undefined, lost: true }]);
        expect(activeIds()).toEqual(["b"]);
        jest.advanceTimersByTime(3_001);
        expect(activeIds()).toEqual(["a", "b"]);
    });

    test("only a notice shows that layers were dropped, since a registry entry may be older than the notice", () => {
        const layers = { first: 0, last: 9 };
        const chosen = serverEntry("a", { layers });
        registry.put(serverEntry("a"), at(1));
        registry.applyNotice([{ id: "a", bornAt: 1, layers, lost: false }]);
        expect(registry.hasDroppedLayers(chosen, layers)).toBe(false);
        registry.put(serverEntry("a", { slots: 11 }), at(2));
        registry.applyNotice([]);
        expect(registry.hasDroppedLayers(chosen, layers)).toBe(false);
        registry.applyNotice([{ id: "a", bornAt: 1, layers: { first: 0, last: 4 }, lost: false }]);
        expect(registry.hasDroppedLayers(chosen, layers)).toBe(true);
        expect(registry.hasDroppedLayers(chosen, { first: 0, last: 4 })).toBe(false);
        registry.applyNotice([{ id: "a", bornAt: 1, layers, lost: true }]);
        expect(registry.hasDroppedLayers(chosen, layers)).toBe(true);
        jest.advanceTimersByTime(3_001);
        expect(registry.hasDroppedLayers(chosen, layers)).toBe(false);
    });

    test("a newer registry entry overrides a notice", () => {
        registry.put(serverEntry("a"), at(1));
        registry.applyNotice([{ id: "a", bornAt: 1, layers: undefined, lost: true }]);
        registry.put(serverEntry("a", { layers: { first: 0, last: 9 } }), at(2));
        expect(activeIds()).toEqual(["a"]);
    });

    describe("a server that announced in a response that it is leaving", () => {
        const announce = (bornAt = 1) => registry.markLeaving(serverEntry("a", { bornAt }));
        const leavingIds = () => registry.recentlyLeaving("pool", 1_000).map(({ id }) => id);

        test("is not active, and is listed as recently leaving from its first announcement", () => {
            registry.put(serverEntry("a"), at(1));
            announce();
            expect(activeIds()).toEqual([]);
            expect(registry.registered("pool")).toEqual([]);
            jest.advanceTimersByTime(900);
            announce();
            registry.put(serverEntry("a", { draining: true }), at(2));
            expect(leavingIds()).toEqual(["a"]);
            jest.advanceTimersByTime(200);
            expect(leavingIds()).toEqual([]);
        });

        test("does not return by a newer entry that says ready, a full read after an outage or a notice", () => {
            replaceAll(["a"], 10, false);
            announce();
            registry.put(serverEntry("a"), at(11));
            expect(activeIds()).toEqual([]);
            replaceAll(["a"], 20, true);
            expect(activeIds()).toEqual([]);
            registry.applyNotice([{ id: "a", bornAt: 1, layers: { first: 0, last: 9 }, lost: false }]);
            expect(activeIds()).toEqual([]);
        });

        test("does not return when it registers again after it was removed and forgotten", () => {
            replaceAll(["a"], 10, false);
            announce();
            replaceAll([], 20, true);
            expect(activeIds()).toEqual([]);
            jest.advanceTimersByTime(60_001);
            replaceAll([], 21, false);
            expect(registry.get("a")).toBeUndefined();
            registry.put(serverEntry("a"), at(22));
            expect(activeIds()).toEqual([]);
            expect(leavingIds()).toEqual([]);
        });

        test("is not active in the grace period of an entry that expired in an outage", () => {
            replaceAll(["a"], 10, false);
            replaceAll([], 20, true);
            expect(activeIds()).toEqual(["a"]);
            announce();
            expect(activeIds()).toEqual([]);
        });

        test("is not active when its entry arrives after the announcement", () => {
            announce();
            registry.put(serverEntry("a"), at(1));
            expect(activeIds()).toEqual([]);
        });

        test("returns with its next start, and an announcement of an earlier start does not affect a later one", () => {
            registry.put(serverEntry("a"), at(1));
            announce();
            registry.put(serverEntry("a", { bornAt: 2 }), at(2));
            expect(activeIds()).toEqual(["a"]);
            announce(0);
            expect(activeIds()).toEqual(["a"]);
            announce(2);
            expect(activeIds()).toEqual([]);
        });

        test("makes the placement leader plan again", () => {
            const listener = jest.fn();
            registry.put(serverEntry("a"), at(1));
            registry.onChange(listener);
            announce();
            expect(listener).toHaveBeenCalledTimes(1);
            announce();
            expect(listener).toHaveBeenCalledTimes(1);
        });
    });
});
