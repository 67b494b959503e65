/** Replays streams with long tails, hints that are off and changes of model against the estimates of their output. */
import { describe, expect, jest, test } from "@jest/globals";
import { SeededRandom } from "../../../src/common/random.js";
import { LearnedRequestCosts } from "../../../src/process/request-costs/learned-request-costs.js";
import type { RequestCostEstimator, StreamCostQuery } from "../../../src/process/request-costs/types.js";
import { TypicalRequestCosts } from "../../../src/process/request-costs/typical-request-costs.js";
import { engineProfile } from "../gateway/fixtures.js";

interface DrawnStream {
    readonly route: string;
    readonly tokens: number;
    /** Undefined if the caller gives none. */
    readonly hint: number | undefined;
}
type StreamLoad = (random: SeededRandom, index: number) => DrawnStream;

function drawNormal(random: SeededRandom): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Log-normal with the given mean; one in a hundred is five times as long. */
function drawTokens(random: SeededRandom, mean: number, spread = 0.5): number {
    return (random.next() < 0.01 ? 5 : 1) * mean * Math.exp(spread * drawNormal(random) - spread ** 2 / 2);
}

const query = (stream: Partial<StreamCostQuery> = {}): StreamCostQuery => ({
    service: "pool",
    route: "notes",
    customer: "haddow",
    engine: engineProfile,
    lengthHint: undefined,
    maximumOutputTokens: undefined,
    ...stream,
});
const queryOf = ({ route, hint }: DrawnStream) => query({ route, lengthHint: hint });

const total = 1_000;
const learning = 100;

/** Mean distance of the estimates from the truth, as a factor, and the share of streams above the upper estimate. */
function measure(costs: RequestCostEstimator, load: StreamLoad) {
    const random = new SeededRandom(20261206);
    let error = 0;
    let above = 0;
    for (let index = 0; index < total; index++) {
        const stream = load(random, index);
        const { meanTokens, upperTokens } = costs.estimateOutput(queryOf(stream));
        if (index >= learning) {
            error += Math.abs(Math.log(meanTokens / stream.tokens));
            above += Number(stream.tokens > upperTokens);
        }
        costs.recordOutput(queryOf(stream), stream.tokens);
    }
    return { factor: Math.exp(error / (total - learning)), above: above / (total - learning) };
}

/** Error of the best estimate from a hint whose error has the given spread: both are log-normal. */
function factorOfBest(spread: number, hintSpread: number): number {
    const deviation = Math.sqrt(1 / (1 / spread ** 2 + 1 / hintSpread ** 2));
    return Math.exp(deviation * Math.sqrt(2 / Math.PI));
}

const heavyTails: StreamLoad = random => ({ route: "notes", tokens: drawTokens(random, 400), hint: undefined });
const tenTimesApart: StreamLoad = (random, index) =>
    index % 2 === 0
        ? { route: "notes", tokens: drawTokens(random, 30), hint: undefined }
        : { route: "drafts", tokens: drawTokens(random, 300), hint: undefined };
const hintOffByFour: StreamLoad = random => {
    const tokens = drawTokens(random, 170, 0.9);
    return { route: "notes", tokens, hint: 4 * tokens * Math.exp(0.5 * drawNormal(random)) };
};
const goodHint: StreamLoad = random => {
    const tokens = drawTokens(random, 170, 0.9);
    return { route: "notes", tokens, hint: tokens * Math.exp(0.5 * drawNormal(random)) };
};
const uselessHint: StreamLoad = random => ({
    route: "notes",
    tokens: drawTokens(random, 170),
    hint: 170 * Math.exp(drawNormal(random)),
});

describe("learned output", () => {
    test.each<[string, StreamLoad, number, number]>([
        ["heavy tails", heavyTails, 0.5, Infinity],
        ["two kinds that cost ten times apart", tenTimesApart, 0.5, Infinity],
        ["a hint that is four times too long", hintOffByFour, 0.9, 0.5],
        ["a hint that is right at the median", goodHint, 0.9, 0.5],
        ["a hint that tells nothing", uselessHint, 0.5, Infinity],
    ])(
        "%s: three quarters of the way from the typical request to the best estimate",
        (_name, load, spread, hintSpread) => {
            const before = measure(new TypicalRequestCosts(), load);
            const after = measure(new LearnedRequestCosts(), load);
            const best = factorOfBest(spread, hintSpread);
            expect(after.factor).toBeLessThan(best + Math.max(0.1, (before.factor - best) / 4));
            // The upper estimate is that of nine in ten.
            expect(after.above).toBeLessThan(0.15);
            expect(after.above).toBeGreaterThan(0.02);
        },
    );

    test("a changed model is learnt within twice the memory of a route", () => {
        const costs = new LearnedRequestCosts();
        const random = new SeededRandom(1);
        Array.from({ length: 200 }, () => costs.recordOutput(query(), drawTokens(random, 50)));
        Array.from({ length: 100 }, () => costs.recordOutput(query(), drawTokens(random, 500)));
        const { meanTokens } = costs.estimateOutput(query());
        expect(meanTokens).toBeGreaterThan(500 / 1.5);
        expect(meanTokens).toBeLessThan(500 * 1.5);
    });

    test("what was learnt yields to new observations after an hour without any", () => {
        const costs = new LearnedRequestCosts();
        Array.from({ length: 100 }, () => costs.recordOutput(query(), 100));
        const moveOf = (observed: number) => {
            const before = costs.estimateOutput(query()).meanTokens;
            costs.recordOutput(query(), observed);
            return costs.estimateOutput(query()).meanTokens / before;
        };
        const move = moveOf(200);
        jest.advanceTimersByTime(4 * 3_600_000);
        expect(moveOf(200)).toBeGreaterThan(move);
    });

    test("one observation, however odd, moves an estimate by a bounded factor", () => {
        for (const odd of [1e-9, 1e12, Infinity, 0, -5, NaN]) {
            const fresh = new LearnedRequestCosts();
            const typical = fresh.estimateOutput(query()).meanTokens;
            fresh.recordOutput(query(), odd);
            expect(Math.abs(Math.log(fresh.estimateOutput(query()).meanTokens / typical))).toBeLessThan(Math.log(2));
            const costs = new LearnedRequestCosts();
            const random = new SeededRandom(1);
            Array.from({ length: 200 }, () => costs.recordOutput(query(), drawTokens(random, 200)));
            const before = costs.estimateOutput(query()).meanTokens;
            costs.recordOutput(query({ lengthHint: odd }), odd);
            expect(Math.abs(Math.log(costs.estimateOutput(query()).meanTokens / before))).toBeLessThan(Math.log(1.1));
        }
    });

    test("a customer's odd observations move the estimates for others little", () => {
        const costs = new LearnedRequestCosts();
        const random = new SeededRandom(1);
        for (let index = 0; index < 1_000; index++) {
            const customer = index % 10 === 0 ? "odd" : `customer-${index % 10}`;
            costs.recordOutput(query({ customer }), customer === "odd" ? 100_000 : drawTokens(random, 200));
        }
        expect(costs.estimateOutput(query({ customer: "customer-1" })).meanTokens).toBeLessThan(400);
        expect(costs.estimateOutput(query({ customer: "odd" })).meanTokens).toBeGreaterThan(10_000);
    });

    test("a new customer is expected to be like the route, and a new route like the typical request", () => {
        const costs = new LearnedRequestCosts();
        expect(costs.estimateOutput(query()).meanTokens).toBeCloseTo(engineProfile.typicalOutputTokens, 3);
        Array.from({ length: 200 }, () => costs.recordOutput(query(), 40));
        expect(costs.estimateOutput(query({ customer: "new" })).meanTokens).toBeLessThan(60);
        expect(costs.estimateOutput(query({ route: "new" })).meanTokens).toBeCloseTo(
            engineProfile.typicalOutputTokens,
            3,
        );
    });

    test("the expected output grows with what has been generated, up to the caller's limit", () => {
        const estimate = new LearnedRequestCosts().estimateOutput(query({ maximumOutputTokens: 800 }));
        const expected = [0, 50, 200, 700, 800, 100_000].map(generated => estimate.expectedAfter(generated));
        expect([...expected].sort((left, right) => left - right)).toEqual(expected);
        expect(expected[2]).toBeGreaterThan(200);
        expect(expected.at(-1)).toBe(800);
        expect(estimate.upperTokens).toBeLessThanOrEqual(800);
    });
});

describe("learned run times", () => {
    const run = { service: "app", route: "book", customer: undefined, serverId: "a" };

    test("an abandoned run counts only for the time that it has taken beyond what is expected", () => {
        const costs = new LearnedRequestCosts();
        const expected = () => costs.estimateRunTime(run, "a").meanMilliseconds;
        const before = expected();
        costs.recordRunTime({ ...run, milliseconds: 1, complete: false });
        expect(expected()).toBe(before);
        costs.recordRunTime({ ...run, milliseconds: 5_000, complete: false });
        expect(expected()).toBeGreaterThan(before);
    });

    test("a server that takes eight times as long as the others is told apart, and its pace returns", () => {
        const costs = new LearnedRequestCosts();
        const record = (serverId: string, milliseconds: number) =>
            costs.recordRunTime({ ...run, serverId, milliseconds, complete: true });
        const repeat = (times: number, ofSlow: number) =>
            Array.from({ length: times }, () => [record("a", 50), record("b", 50), record("slow", ofSlow)]);
        repeat(30, 50);
        expect(costs.usualRunMilliseconds("app", "slow")).toBeCloseTo(costs.usualRunMilliseconds("app", "a"));
        repeat(15, 400);
        expect(costs.usualRunMilliseconds("app", "slow")).toBeGreaterThan(2 * costs.usualRunMilliseconds("app", "a"));
        repeat(40, 50);
        expect(costs.usualRunMilliseconds("app", "slow")).toBeCloseTo(costs.usualRunMilliseconds("app", "a"));
    });
});
