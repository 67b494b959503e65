import { beforeEach, expect, jest, test } from "@jest/globals";
import type { RunningLoad } from "../../../src/domain/gateway/placement-notice.js";
import { FleetLoad } from "../../../src/process/gateway/fleet-load.js";
import { LocalServerLoad } from "../../../src/process/gateway/local-server-load.js";
import type { OutputEstimate, RunTimeEstimate } from "../../../src/process/request-costs/types.js";

let localLoad: LocalServerLoad;
let fleetLoad: FleetLoad;

beforeEach(() => {
    localLoad = new LocalServerLoad();
    fleetLoad = new FleetLoad(localLoad, () => 10);
});

test("without notices, the fleet load is the local load times the number of routers", () => {
    localLoad.beginRequest(["a"], 500);
    expect(fleetLoad.requests("a")).toBe(10);
    expect(fleetLoad.tokens("a")).toBe(5_000);
});

test("with notices, the fleet load is the reported load of other routers plus the current local load", () => {
    fleetLoad.applyOtherLoads(new Map([["a", { requests: 3, tokens: 900 }]]));
    const end = localLoad.beginRequest(["a", "b"], 500);
    expect([fleetLoad.requests("a"), fleetLoad.tokens("a"), fleetLoad.requests("b")]).toEqual([4, 1_400, 1]);
    end();
    expect([fleetLoad.requests("a"), fleetLoad.tokens("b")]).toEqual([3, 0]);
});

const output: OutputEstimate = {
    meanTokens: 100,
    upperTokens: 200,
    expectedAfter: generated => Math.max(100, 1.5 * generated),
};
const runTime: RunTimeEstimate = {
    meanMilliseconds: 100,
    expectedAfter: elapsed => Math.max(100, 1.5 * elapsed),
};

test("a stream counts with its prompt and the output that its progress makes likely, on every server of its path", () => {
    const stream = localLoad.beginStream(["a", "b"], 700, output);
    expect(localLoad.tokens("a")).toBe(800);
    stream.recordOutput(50);
    expect(localLoad.tokens("b")).toBe(800);
    stream.recordOutput(400);
    expect([localLoad.tokens("a"), localLoad.tokens("b")]).toEqual([1_300, 1_300]);
    stream.end();
    stream.end();
    stream.recordOutput(800);
    expect([localLoad.tokens("a"), localLoad.requests("a")]).toEqual([0, 0]);
});

test("a plain request counts with the run time that it has left", () => {
    const end = localLoad.beginPlainRequest("a", runTime);
    localLoad.beginPlainRequest("b", runTime);
    jest.advanceTimersByTime(60);
    expect(localLoad.workMilliseconds("a")).toBeCloseTo(40);
    jest.advanceTimersByTime(940);
    expect(localLoad.workMilliseconds("a")).toBeCloseTo(500);
    expect([...localLoad.allWork.keys()]).toEqual(["a", "b"]);
    end();
    end();
    expect([localLoad.workMilliseconds("a"), localLoad.requests("a")]).toEqual([0, 0]);
    expect([...localLoad.allWork.keys()]).toEqual(["b"]);
});

test("work left is that of all routers, and only the router's own times the routers without notices", () => {
    localLoad.beginPlainRequest("a", runTime);
    expect(fleetLoad.workMilliseconds("a")).toBeCloseTo(1_000);
    fleetLoad.recordRouterLoads("second", new Map(), new Map([["a", 300]]));
    fleetLoad.recordRouterLoads("third", new Map(), new Map([["a", 30], ["b", 40]]));
    expect([fleetLoad.workMilliseconds("a"), fleetLoad.workMilliseconds("b")]).toEqual([430, 40]);
    expect([...fleetLoad.workExcluding("third")]).toEqual([["a", 400]]);
    fleetLoad.recordRouterLoads("second", new Map());
    expect(fleetLoad.workMilliseconds("a")).toBeCloseTo(130);
    jest.advanceTimersByTime(2_001);
    expect([fleetLoad.workMilliseconds("b"), fleetLoad.workExcluding("third").has("b")]).toEqual([0, false]);
});

test("the reported load of other routers expires", () => {
    fleetLoad.applyOtherLoads(new Map([["a", { requests: 3, tokens: 900 }]]));
    jest.advanceTimersByTime(2_001);
    expect(fleetLoad.requests("a")).toBe(0);
});

test("the total excluding a router is the leader's own load plus that of all other routers", () => {
    localLoad.beginRequest(["a"], 100);
    fleetLoad.recordRouterLoads("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    fleetLoad.recordRouterLoads(
        "third",
        new Map([["a", { requests: 4, tokens: 400 }], ["b", { requests: 1, tokens: 50 }]]),
    );
    expect(fleetLoad.totalExcluding("second").get("a")).toEqual({ requests: 5, tokens: 500 });
    expect(fleetLoad.totalExcluding("third").get("b")).toBeUndefined();
    expect([fleetLoad.requests("a"), fleetLoad.tokens("a")]).toEqual([7, 700]);
});

test("the load of a router that stops reporting expires", () => {
    fleetLoad.recordRouterLoads("second", new Map([["a", { requests: 2, tokens: 200 }]]));
    jest.advanceTimersByTime(2_001);
    fleetLoad.recordRouterLoads("third", new Map());
    expect(fleetLoad.requests("a")).toBe(0);
    expect(fleetLoad.totalExcluding("third").size).toBe(0);
});

/** Counts how often the loads are read. */
class CountedLoads extends Map<string, RunningLoad> {
    reads = 0;

    override [Symbol.iterator]() {
        this.reads++;
        return super[Symbol.iterator]();
    }
}

// A leader that added up all reports for each router fell behind its event loop and ran out of memory.
test("a round of notices to 120 routers reads each router's report a few times, not once for each router", () => {
    const reports = Array.from({ length: 120 }, () => new CountedLoads([["a", { requests: 1, tokens: 10 }]]));
    const record = () => reports.forEach((loads, index) => fleetLoad.recordRouterLoads(`router-${index}`, loads));
    record();
    reports.forEach(loads => {
        loads.reads = 0;
    });
    reports.forEach((_loads, index) =>
        expect(fleetLoad.totalExcluding(`router-${index}`).get("a")).toEqual({ requests: 119, tokens: 1_190 })
    );
    record();
    expect(fleetLoad.requests("a")).toBe(120);
    expect(Math.max(...reports.map(({ reads }) => reads))).toBeLessThanOrEqual(4);
});
