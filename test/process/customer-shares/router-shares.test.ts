import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { encodeReport } from "../../../src/connection/gateway/peer-notices.js";
import { RouterShares } from "../../../src/process/customer-shares/router-shares.js";

const createShares = (name = "router") => new RouterShares(name, new SilentMetrics());
const limitTo = (part: number) => new Map([["pool", new Map([["a", part], ["", part]])]]);
const count = (answers: readonly boolean[]) => answers.filter(Boolean).length;
const ask = (shares: RouterShares, times: number, customer = "a") =>
    Array.from({ length: times }, () => shares.mayTakeRoom("pool", customer, 900));

let shares: RouterShares;

beforeEach(() => {
    shares = createShares();
});

describe("RouterShares", () => {
    test("limits nobody before the first notice, nor customers and services that the notice doesn't name", () => {
        expect(count(ask(shares, 10))).toBe(10);
        shares.applyLimits(limitTo(0.1));
        expect(count(ask(shares, 10, "b"))).toBe(10);
        expect(shares.mayTakeRoom("other", "a", 900)).toBe(true);
    });

    test("lets exactly the published part take room, spread evenly, and never holds back longer than that", () => {
        shares.applyLimits(limitTo(0.4));
        const answers = ask(shares, 100);
        expect(count(answers)).toBeGreaterThanOrEqual(39);
        expect(count(answers)).toBeLessThanOrEqual(41);
        for (let first = 0; first + 5 <= 100; first++) {
            expect(count(answers.slice(first, first + 5))).toBe(2);
        }
    });

    test("carries the part over notices, so that one request between two of them isn't held back each time", () => {
        const answers = Array.from({ length: 20 }, () => {
            jest.advanceTimersByTime(500);
            shares.applyLimits(limitTo(0.3));
            return ask(shares, 1)[0]!;
        });
        expect(count(answers)).toBeGreaterThanOrEqual(5);
        expect(count(answers)).toBeLessThanOrEqual(7);
    });

    test("counts the part in tokens, and serves large requests among small ones", () => {
        shares.applyLimits(limitTo(0.5));
        let asked = 0;
        let large = 0;
        let allowed = 0;
        for (let index = 0; index < 200; index++) {
            const tokens = index % 10 === 0 ? 5_000 : 200;
            const mayTakeRoom = shares.mayTakeRoom("pool", "a", tokens);
            asked += tokens;
            allowed += mayTakeRoom ? tokens : 0;
            large += Number(mayTakeRoom && tokens === 5_000);
        }
        expect(allowed / asked).toBeCloseTo(0.5, 1);
        expect(large).toBeGreaterThan(4);
    });

    test("routers begin at different places, so that the first requests at all of them are neither all let through nor none", () => {
        const first = Array.from({ length: 133 }, (_unused, index) => {
            const router = createShares(`router-${index}`);
            router.applyLimits(limitTo(0.5));
            return ask(router, 1)[0]!;
        });
        expect(count(first)).toBeGreaterThan(45);
        expect(count(first)).toBeLessThan(88);
    });

    test("limits lapse 2 s after the last notice that had them", () => {
        shares.applyLimits(limitTo(0));
        expect(count(ask(shares, 5))).toBe(0);
        jest.advanceTimersByTime(1_900);
        shares.applyLimits(undefined);
        expect(count(ask(shares, 5))).toBe(0);
        jest.advanceTimersByTime(200);
        expect(count(ask(shares, 5))).toBe(5);
    });

    test("requests without a customer are one group, and odd token counts neither pass the limit nor end the process", () => {
        shares.applyLimits(limitTo(0));
        expect(count(ask(shares, 5, ""))).toBe(0);
        expect(shares.mayTakeRoom("pool", undefined, 900)).toBe(false);
        for (const tokens of [NaN, Infinity, -5, 0, 1e300]) {
            expect(shares.mayTakeRoom("pool", "a", tokens)).toBe(false);
            shares.recordAsked("pool", "a", tokens);
            shares.recordTaken("pool", undefined, tokens);
        }
        jest.advanceTimersByTime(500);
        const demands = [...shares.takeDemands()!.get("pool")!.values()];
        demands.forEach(({ asked, taken }) => expect(asked + taken).toBeLessThan(1e8));
    });

    test("reports each demand once, the largest first and within its bytes; the rest goes with the next report", () => {
        for (let index = 0; index < 40; index++) {
            shares.recordAsked("pool", `customer-${index}`, 100 + index);
        }
        shares.recordTaken("pool", "customer-39", 139);
        jest.advanceTimersByTime(500);
        const first = shares.takeDemands()!;
        expect(first.get("pool")!.get("customer-39")).toEqual({ asked: 139, taken: 139 });
        expect(first.get("pool")!.has("customer-0")).toBe(false);
        const empty = { loads: new Map(), retryUsage: { usages: new Map(), recordedMilliseconds: 0 } };
        expect(encodeReport({ ...empty, customerDemands: first }).length - encodeReport(empty).length).toBeLessThan(
            320,
        );
        const reported = new Set(first.get("pool")!.keys());
        for (let round = 0; round < 6; round++) {
            jest.advanceTimersByTime(500);
            for (const customer of shares.takeDemands()!.get("pool")?.keys() ?? []) {
                expect(reported.has(customer)).toBe(false);
                reported.add(customer);
            }
        }
        expect(reported.size).toBe(40);
    });
});
