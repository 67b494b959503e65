import { beforeEach, expect, jest, test } from "@jest/globals";
import { FleetLoad } from "../../../src/process/gateway/fleet-load.js";
import { ServerLoad } from "../../../src/process/gateway/server-load.js";

let own: ServerLoad;
let fleet: FleetLoad;

beforeEach(() => {
    own = new ServerLoad();
    fleet = new FleetLoad(own, () => 10);
});

test("without notices a router's own load stands for everyone's", () => {
    own.begin(["a"], 500);
    expect(fleet.requests("a")).toBe(10);
    expect(fleet.tokens("a")).toBe(5_000);
});

test("with notices the others' load counts as told, and one's own as it is now", () => {
    fleet.applyOthers(new Map([["a", { requests: 3, tokens: 900 }]]));
    const end = own.begin(["a", "b"], 500);
    expect([fleet.requests("a"), fleet.tokens("a"), fleet.requests("b")]).toEqual([4, 1_400, 1]);
    end();
    expect([fleet.requests("a"), fleet.tokens("b")]).toEqual([3, 0]);
});

test("what was told long ago no longer counts", () => {
    fleet.applyOthers(new Map([["a", { requests: 3, tokens: 900 }]]));
    jest.advanceTimersByTime(2_001);
    expect(fleet.requests("a")).toBe(0);
});

test("the leader gives each router the sum of all others' parts and its own", () => {
    own.begin(["a"], 100);
    fleet.notePart("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    fleet.notePart("third", new Map([["a", { requests: 4, tokens: 400 }], ["b", { requests: 1, tokens: 50 }]]));
    expect(fleet.sumWithout("second").get("a")).toEqual({ requests: 5, tokens: 500 });
    expect(fleet.sumWithout("third").get("b")).toBeUndefined();
    expect([fleet.requests("a"), fleet.tokens("a")]).toEqual([7, 700]);
});

test("a router that answers no more is forgotten", () => {
    fleet.notePart("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    jest.advanceTimersByTime(2_001);
    fleet.notePart("third", new Map());
    expect(fleet.requests("a")).toBe(0);
    expect(fleet.sumWithout("third").size).toBe(0);
});
