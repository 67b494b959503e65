/** Replays plain requests whose work differs widely, and servers that turn slow, against the choice of a server. */
import { describe, expect, test } from "@jest/globals";
import type { SeededRandom } from "../../../src/common/random.js";
import { LearnedRequestCosts } from "../../../src/process/request-costs/learned-request-costs.js";
import { TypicalRequestCosts } from "../../../src/process/request-costs/typical-request-costs.js";
import { LeastWorkPolicy, TwoChoicesPolicy } from "../../../src/request/gateway/plain-server-chooser.js";
import { type PlainDecisions, type PlainLoad, replayPlainLoad } from "./plain-load-replay.js";

const present = (): PlainDecisions => ({
    costs: new TypicalRequestCosts(),
    createPolicy: (fleet, random) => new TwoChoicesPolicy(fleet, random),
});

const learned = (): PlainDecisions => {
    const costs = new LearnedRequestCosts();
    return { costs, createPolicy: (fleet, random) => new LeastWorkPolicy(fleet, costs, random) };
};

/** Knows the work of each request and the pace of each server, as they are. */
const oracle = (): PlainDecisions => ({
    costs: new TypicalRequestCosts(),
    createPolicy: (fleet, random, pace) =>
        new LeastWorkPolicy(fleet, { usualRunMilliseconds: (_service, id) => 150 * pace(id) }, random),
    runTime: total => ({ meanMilliseconds: total, expectedAfter: () => total }),
});

/** Log-normal work with the given mean and spread; one in a hundred takes five times as long. */
function drawWork(random: SeededRandom, mean: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const tail = random.next() < 0.01 ? 5 : 1;
    return tail * mean * Math.exp(0.5 * normal - 0.125);
}

const alike = () => 1;
const heavyTails: PlainLoad = {
    requestsPerSecond: 76,
    draw: random => ({ route: "book", work: drawWork(random, 300) }),
    factor: alike,
};
const tenTimesApart: PlainLoad = {
    requestsPerSecond: 76,
    draw: random =>
        random.next() < 0.1
            ? { route: "report", work: drawWork(random, 1_500) }
            : { route: "look", work: drawWork(random, 150) },
    factor: alike,
};
const slowServer: PlainLoad = {
    requestsPerSecond: 48,
    draw: random => ({ route: "book", work: drawWork(random, 250) }),
    factor: (id, milliseconds) => id === "a" && milliseconds >= 25_000 ? 8 : 1,
};
const drift: PlainLoad = {
    requestsPerSecond: 60,
    draw: (random, milliseconds) =>
        random.next() < 0.1
            ? { route: "report", work: drawWork(random, milliseconds < 25_000 ? 150 : 1_500) }
            : { route: "look", work: drawWork(random, 150) },
    factor: alike,
};

describe("LeastWorkPolicy with learned costs", () => {
    test.each<[string, PlainLoad]>([
        ["heavy tails", heavyTails],
        ["two kinds that cost ten times apart", tenTimesApart],
        ["a server that silently turns eight times slower", slowServer],
        ["a kind that turns ten times as expensive", drift],
    ])("%s: at least half of the way from the count of requests to an oracle", (_name, load) => {
        const before = replayPlainLoad(load, present);
        const after = replayPlainLoad(load, learned);
        const best = replayPlainLoad(load, oracle);
        expect(after.inTime).toBeGreaterThanOrEqual((before.inTime + best.inTime) / 2);
        expect(after.wait).toBeLessThanOrEqual((before.wait + best.wait) / 2);
    });
});
