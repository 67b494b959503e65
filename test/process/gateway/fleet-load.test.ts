import { beforeEach, expect, jest, test } from "@jest/globals";
import { FleetLoad } from "../../../src/process/gateway/fleet-load.js";
import { LocalServerLoad } from "../../../src/process/gateway/server-load.js";

let localLoad: LocalServerLoad;
let fleet: FleetLoad;

beforeEach(() => {
    localLoad = new LocalServerLoad();
    fleet = new FleetLoad(localLoad, () => 10);
});

test("without notices, the fleet load is the local load times the number of routers", () => {
    localLoad.beginRequest(["a"], 500);
    expect(fleet.requests("a")).toBe(10);
    expect(fleet.tokens("a")).toBe(5_000);
});

test("with notices, the fleet load is the reported load of other routers plus the current local load", () => {
    fleet.applyOtherLoads(new Map([["a", { requests: 3, tokens: 900 }]]));
    const end = localLoad.beginRequest(["a", "b"], 500);
    expect([fleet.requests("a"), fleet.tokens("a"), fleet.requests("b")]).toEqual([4, 1_400, 1]);
    end();
    expect([fleet.requests("a"), fleet.tokens("b")]).toEqual([3, 0]);
});

test("the reported load of other routers expires", () => {
    fleet.applyOtherLoads(new Map([["a", { requests: 3, tokens: 900 }]]));
    jest.advanceTimersByTime(2_001);
    expect(fleet.requests("a")).toBe(0);
});

test("the total excluding a router is the leader's own load plus that of all other routers", () => {
    localLoad.beginRequest(["a"], 100);
    fleet.recordRouterLoads("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    fleet.recordRouterLoads(
        "third",
        new Map([["a", { requests: 4, tokens: 400 }], ["b", { requests: 1, tokens: 50 }]]),
    );
    expect(fleet.totalExcluding("second").get("a")).toEqual({ requests: 5, tokens: 500 });
    expect(fleet.totalExcluding("third").get("b")).toBeUndefined();
    expect([fleet.requests("a"), fleet.tokens("a")]).toEqual([7, 700]);
});

test("the load of a router that stops reporting expires", () => {
    fleet.recordRouterLoads("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    jest.advanceTimersByTime(2_001);
    fleet.recordRouterLoads("third", new Map());
    expect(fleet.requests("a")).toBe(0);
    expect(fleet.totalExcluding("third").size).toBe(0);
});
