import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import type { ServerEntry } from "../../../src/domain/gateway/server-entry.js";
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

    describe("after the store has come back from an older copy", () => {
        const returnWith = (...entries: ServerEntry[]) =>
            registry.replaceAll({
                entries: new Map(entries.map(entry => [entry.id, { entry, position: at(5, 2) }])),
                position: at(10, 2),
                context: ReadContext.newEra,
            });
        const lapse = (id: string) =>
            registry.replaceAll({
                entries: new Map(
                    ["a", "b"].filter(other => other !== id)
                        .map(other => [other, { entry: serverEntry(other), position: at(91, 1) }]),
                ),
                position: at(100, 1),
                context: ReadContext.afterOutage,
            });
        const layers = (last: number) => ({ layers: { first: 0, last } });

        beforeEach(() => {
            registry.put(serverEntry("a", { heartbeats: 7 }), at(90, 1));
            registry.put(serverEntry("b", { heartbeats: 7 }), at(91, 1));
        });

        test("a server that has left since the copy stays out, until it registers again itself", () => {
            registry.remove("a", at(100, 1));
            returnWith(serverEntry("a", { heartbeats: 3 }), serverEntry("b", { heartbeats: 3 }));
            expect(activeIds()).toEqual(["b"]);
            expect(registry.distrustedCount).toBe(1);
            registry.put(serverEntry("a", { heartbeats: 8 }), at(11, 2));
            expect(activeIds()).toEqual(["a", "b"]);
        });

        // Its entry may have been renewed after this router's last look at it, and before it left.
        test("a server that has left stays out although its entry is newer, until that outlasts all that lapse", () => {
            registry.remove("a", at(100, 1));
            registry.put(serverEntry("b", { draining: true, heartbeats: 8 }), at(101, 1));
            returnWith(serverEntry("a", { heartbeats: 8 }), serverEntry("b", { heartbeats: 3 }));
            jest.advanceTimersByTime(9_900);
            registry.put(serverEntry("c"), at(11, 2));
            expect(activeIds()).toEqual(["c"]);
            jest.advanceTimersByTime(200);
            // The store may not have been read since.
            expect(activeIds()).toEqual(["c"]);
            registry.put(serverEntry("c", { slots: 3 }), at(12, 2));
            expect(activeIds().sort()).toEqual(["a", "b", "c"]);
        });

        test("a server that lapsed a moment ago, and is in the copy, is in use", () => {
            lapse("a");
            expect(registry.get("a")!.removed).toBe(true);
            returnWith(serverEntry("a", { heartbeats: 7 }), serverEntry("b", { heartbeats: 8 }));
            jest.advanceTimersByTime(expiryGraceMilliseconds + 1);
            expect(activeIds().sort()).toEqual(["a", "b"]);
        });

        test("an entry of the copy that lapses ends the doubt about its server", () => {
            registry.remove("a", at(100, 1));
            returnWith(serverEntry("a", { heartbeats: 3 }), serverEntry("b", { heartbeats: 7 }));
            registry.remove("a", at(12, 2));
            expect(registry.distrustedCount).toBe(0);
            jest.advanceTimersByTime(11_000);
            expect(activeIds()).toEqual(["b"]);
        });

        test("an earlier start, or earlier layers, of a server do not replace what is known of it", () => {
            registry.put(serverEntry("a", { bornAt: 2, heartbeats: 1, ...layers(9) }), at(100, 1));
            registry.put(serverEntry("b", { heartbeats: 9, ...layers(9) }), at(101, 1));
            returnWith(
                serverEntry("a", { bornAt: 1, heartbeats: 30, ...layers(4) }),
                serverEntry("b", { heartbeats: 3, ...layers(4) }),
            );
            expect(registry.active("pool").map(entry => [entry.bornAt, entry.layers!.last])).toEqual([[2, 9], [1, 9]]);
            registry.put(serverEntry("b", { heartbeats: 10, ...layers(4) }), at(11, 2));
            expect(registry.get("b")!.entry.layers!.last).toBe(4);
        });

        test("a later start, and a server that nobody knew, are taken in", () => {
            returnWith(
                serverEntry("a", { bornAt: 2, heartbeats: 1 }),
                serverEntry("b", { heartbeats: 7 }),
                serverEntry("c"),
            );
            expect(activeIds()).toEqual(["a", "b", "c"]);
            expect(registry.get("a")!.entry.bornAt).toBe(2);
        });

        test("a server that the copy does not hold is used for as long as after an outage, unless it was leaving", () => {
            registry.put(serverEntry("b", { draining: true }), at(100, 1));
            returnWith();
            expect(activeIds()).toEqual(["a"]);
            expect(registry.stable).toBe(false);
            jest.advanceTimersByTime(expiryGraceMilliseconds + 1);
            expect(activeIds()).toEqual([]);
            registry.put(serverEntry("a"), at(11, 2));
            expect(activeIds()).toEqual(["a"]);
        });

        test("a notice on a server of which the copy says nothing new goes on to apply", () => {
            registry.applyNotice([{ id: "a", bornAt: 1, layers: undefined, lost: true }]);
            returnWith(serverEntry("a", { heartbeats: 7 }), serverEntry("b", { heartbeats: 7 }));
            expect(activeIds()).toEqual(["b"]);
        });

        test("changes of the era before are ignored", () => {
            returnWith(serverEntry("a", { heartbeats: 7 }), serverEntry("b", { heartbeats: 7 }));
            registry.remove("a", at(500, 1));
            registry.put(serverEntry("b", { draining: true }), at(501, 1));
            expect(activeIds()).toEqual(["a", "b"]);
        });
    });
});
