import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { ServerRegistry } from "../../../src/process/gateway/server-registry.js";
import { serverEntry } from "./fixtures.js";

const lapseToleranceMilliseconds = 1_700;
let registry: ServerRegistry;

const activeIds = () => registry.active("pool").map(({ id }) => id);
const replaceAll = (ids: readonly string[], revision: number, afterOutage: boolean) =>
    registry.replaceAll({
        entries: new Map(ids.map(id => [id, { entry: serverEntry(id), revision: 1 }])),
        revision,
        afterOutage,
    });

beforeEach(() => {
    registry = new ServerRegistry(lapseToleranceMilliseconds, new SilentLogger());
});

describe("ServerRegistry", () => {
    test("a draining server is not chosen, and stays usable as a last resort for a bounded time only", () => {
        registry.put(serverEntry("a"), 1);
        registry.put(serverEntry("a", { draining: true }), 2);
        expect(activeIds()).toEqual([]);
        expect(registry.justLeaving("pool", 1_000)).toHaveLength(1);
        jest.advanceTimersByTime(900);
        registry.put(serverEntry("a", { draining: true, slots: 3 }), 3);
        jest.advanceTimersByTime(200);
        expect(registry.justLeaving("pool", 1_000)).toHaveLength(0);
    });

    test("older news changes nothing", () => {
        registry.put(serverEntry("a", { draining: true }), 5);
        registry.put(serverEntry("a"), 4);
        expect(activeIds()).toEqual([]);
        registry.put(serverEntry("b"), 6);
        registry.remove("b", 6);
        expect(activeIds()).toEqual(["b"]);
    });

    test("entries that lapsed in an outage are used until they should be back, then taken as gone", () => {
        replaceAll(["a", "b"], 10, false);
        replaceAll(["a"], 20, true);
        expect(activeIds()).toEqual(["a", "b"]);
        jest.advanceTimersByTime(lapseToleranceMilliseconds + 1);
        expect(activeIds()).toEqual(["a"]);
    });

    test("a server that drained before the outage does not come back with it", () => {
        replaceAll(["a"], 10, false);
        registry.put(serverEntry("a", { draining: true }), 11);
        replaceAll([], 20, true);
        expect(activeIds()).toEqual([]);
    });

    test("without an outage, what a full read lacks has gone at once", () => {
        replaceAll(["a", "b"], 10, false);
        replaceAll(["a"], 20, false);
        expect(activeIds()).toEqual(["a"]);
    });

    test("is not settled for a while after the first read and after outages", () => {
        expect(registry.settled).toBe(false);
        replaceAll(["a"], 10, false);
        expect(registry.settled).toBe(false);
        jest.advanceTimersByTime(2_500);
        expect(registry.settled).toBe(true);
        replaceAll(["a"], 20, true);
        expect(registry.settled).toBe(false);
    });

    test("a notice corrects layers and hides lost servers, for a short time and for one start only", () => {
        registry.put(serverEntry("a", { layers: { first: 0, last: 4 } }), 1);
        registry.put(serverEntry("b"), 1);
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

    test("only a notice shows that layers are given up, never an entry that may be older than it", () => {
        const layers = { first: 0, last: 9 };
        const chosen = serverEntry("a", { layers });
        registry.put(serverEntry("a"), 1);
        registry.applyNotice([{ id: "a", bornAt: 1, layers, lost: false }]);
        expect(registry.hasGivenUp(chosen, layers)).toBe(false);
        registry.put(serverEntry("a", { slots: 11 }), 2);
        registry.applyNotice([]);
        expect(registry.hasGivenUp(chosen, layers)).toBe(false);
        registry.applyNotice([{ id: "a", bornAt: 1, layers: { first: 0, last: 4 }, lost: false }]);
        expect(registry.hasGivenUp(chosen, layers)).toBe(true);
        expect(registry.hasGivenUp(chosen, { first: 0, last: 4 })).toBe(false);
        registry.applyNotice([{ id: "a", bornAt: 1, layers, lost: true }]);
        expect(registry.hasGivenUp(chosen, layers)).toBe(true);
        jest.advanceTimersByTime(3_001);
        expect(registry.hasGivenUp(chosen, layers)).toBe(false);
    });

    test("newer news of the registry ends a notice", () => {
        registry.put(serverEntry("a"), 1);
        registry.applyNotice([{ id: "a", bornAt: 1, layers: undefined, lost: true }]);
        registry.put(serverEntry("a", { layers: { first: 0, last: 9 } }), 2);
        expect(activeIds()).toEqual(["a"]);
    });
});
