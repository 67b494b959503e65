/** Replays storms of one customer, and shortages that hit all, against the shares that the placement leader publishes. */
import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import fc from "fast-check";
import { FairShares, ProportionalShares } from "../../../src/process/customer-shares/weighted-shares.js";
import { type CustomerLoad, roomOf, service, SharedFleet, tokensOf } from "./shared-fleet.js";

/** A few large customers and many small ones, in requests a second. */
const usualLoads: ReadonlyMap<string, CustomerLoad> = new Map<string, CustomerLoad>([
    ...["large-1", "large-2", "large-3"].map(name => [name, { requestsPerSecond: 30 }] as const),
    ...Array.from({ length: 20 }, (_unused, index) => [`small-${index}`, { requestsPerSecond: 3 }] as const),
]);
const usualRate = 150;

const scaled = (loads: ReadonlyMap<string, CustomerLoad>, factor: (name: string) => number) =>
    new Map([...loads].map(([name, { requestsPerSecond }]) => [
        name,
        { requestsPerSecond: requestsPerSecond * factor(name) },
    ]));

/** Least part of what they ask for that the customers get whose names begin as given. */
function leastServed(
    taken: ReadonlyMap<string, number>,
    loads: ReadonlyMap<string, CustomerLoad>,
    milliseconds: number,
    prefix: string,
): number {
    const parts = [...loads].filter(([name]) => name.startsWith(prefix)).map(([name, { requestsPerSecond }]) =>
        (taken.get(name) ?? 0) / tokensOf(requestsPerSecond, milliseconds)
    );
    return Math.min(...parts);
}

const milliseconds = 20_000;

describe("a storm of one customer while the room is three quarters in use", () => {
    const storm = new Map(usualLoads).set("large-1", { requestsPerSecond: 300, repeats: 3 });
    const playStorm = (policy = new FairShares()) => {
        const fleet = new SharedFleet({ routers: 133, capacity: roomOf(usualRate / 0.7), policy });
        fleet.play(usualLoads, 10_000);
        fleet.play(storm, 3_000);
        return fleet.measure(storm, milliseconds);
    };

    test("costs that customer: all others get nearly all that they ask for", () => {
        const taken = playStorm();
        expect(leastServed(taken, storm, milliseconds, "large-2")).toBeGreaterThan(0.9);
        expect(leastServed(taken, storm, milliseconds, "large-3")).toBeGreaterThan(0.9);
        expect(leastServed(taken, storm, milliseconds, "small-")).toBeGreaterThan(0.9);
        expect(taken.get("large-1")).toBeGreaterThan(tokensOf(30, milliseconds));
    });

    test("costs everybody with the baseline, which holds back the same part of every demand", () => {
        expect(leastServed(playStorm(new ProportionalShares()), storm, milliseconds, "small-")).toBeLessThan(0.6);
    });
});

test("a shortage that hits all is borne by all in proportion to what they usually ask for", () => {
    const fleet = new SharedFleet({ routers: 133, capacity: roomOf(usualRate / 0.7) });
    fleet.play(usualLoads, 10_000);
    const burst = scaled(usualLoads, () => 2.5);
    fleet.play(burst, 4_000);
    const taken = fleet.measure(burst, milliseconds);
    const large = leastServed(taken, burst, milliseconds, "large-");
    const small = leastServed(taken, burst, milliseconds, "small-");
    expect(large).toBeGreaterThan(0.4);
    expect(small).toBeGreaterThan(0.4);
    expect(large / small).toBeGreaterThan(0.6);
});

test("under half of the room nobody is limited, whatever one customer asks for", () => {
    const fleet = new SharedFleet({ routers: 20, capacity: roomOf(usualRate * 8) });
    const storm = new Map(usualLoads).set("large-1", { requestsPerSecond: 400, repeats: 3 });
    fleet.play(storm, 10_000);
    expect(fleet.used / fleet.options.capacity).toBeLessThan(0.5);
    expect(leastServed(fleet.measure(storm, milliseconds), storm, milliseconds, "")).toBeGreaterThan(0.97);
    expect(fleet.limits?.size ?? 0).toBe(0);
});

test.each([49_000, 90_000])("a storm while less than half of the room is in use limits nobody, after %i", used => {
    const fleet = new SharedFleet({ routers: 1, capacity: 100_000 });
    fleet.used = used;
    playRounds(fleet, 8, { a: [4_000, 4_000], b: [4_000, 4_000] });
    fleet.used = 49_000;
    for (let round = 0; round < 8; round++) {
        fleet.leader.recordReport(new Map([[service, new Map([["a", { asked: 1e6, taken: 4_000 }]])]]));
        jest.advanceTimersByTime(500);
        expect(fleet.leader.computeLimits()?.size ?? 0).toBe(0);
    }
});

/** Rounds of half a second in which two customers ask for and take the given tokens; returns the last limits. */
function playRounds(fleet: SharedFleet, rounds: number, demands: Record<string, [asked: number, taken: number]>) {
    for (let round = 0; round < rounds; round++) {
        fleet.leader.recordReport(
            new Map([[
                service,
                new Map(Object.entries(demands).map(([name, [asked, taken]]) => [name, { asked, taken }])),
            ]]),
        );
        jest.advanceTimersByTime(500);
        fleet.limits = fleet.leader.computeLimits();
    }
    return fleet.limits?.get(service);
}

describe("the tokens that may begin in a second", () => {
    let fleet: SharedFleet;
    const press = (rounds: number) => playRounds(fleet, rounds, { a: [10_000, 5_000], b: [10_000, 5_000] });

    beforeEach(() => {
        fleet = new SharedFleet({ routers: 1, capacity: 100_000 });
        fleet.used = 70_000;
        playRounds(fleet, 20, { a: [5_000, 5_000], b: [5_000, 5_000] });
    });

    test.each([[76_000, 0.575], [85_000, 0.5], [100_000, 0.375]])(
        "with %i of 100,000 in use fill the room up to its target, and no further",
        (used, part) => {
            fleet.used = used;
            expect(press(40)!.get("a")).toBeCloseTo(part, 1);
            expect(Math.abs(fleet.limits!.get(service)!.get("a")! - part)).toBeLessThan(0.04);
        },
    );

    test("are only those that end while the room fills", () => {
        fleet.used = 60_000;
        press(20);
        for (; fleet.used < 85_000; fleet.used += 2_500) {
            press(1);
        }
        expect(press(1)!.get("a")).toBeLessThan(0.46);
    });

    test("are a quarter of those that begin now at least, however full the engines seem", () => {
        fleet.used = 300_000;
        expect(press(20)!.get("a")).toBeGreaterThan(0.1);
    });
});

test("a customer that storms while room is short doesn't raise its share by that, however long it does", () => {
    const fleet = new SharedFleet({ routers: 1, capacity: 100_000 });
    fleet.used = 70_000;
    playRounds(fleet, 20, { a: [5_000, 5_000], b: [5_000, 5_000] });
    fleet.used = 85_000;
    const storm: Record<string, [number, number]> = { a: [50_000, 5_000], b: [10_000, 5_000] };
    const early = playRounds(fleet, 30, storm)!.get("b")!;
    expect(playRounds(fleet, 240, storm)!.get("b")).toBeCloseTo(early, 1);
    expect(early).toBeGreaterThan(0.45);
});

test("a new customer has a place of half the mean when the room is short", () => {
    const fleet = new SharedFleet({ routers: 1, capacity: 100_000 });
    fleet.used = 70_000;
    playRounds(fleet, 20, { a: [5_000, 5_000], b: [5_000, 5_000] });
    fleet.used = 85_000;
    const limits = playRounds(fleet, 20, { a: [9_000, 4_000], b: [9_000, 4_000], late: [9_000, 2_000] })!;
    // The mean over all three, whose new one has no usual demand, is two thirds of that of the other two.
    expect(limits.get("late")! / limits.get("a")!).toBeCloseTo(1 / 3, 1);
});

test("a customer that took less than its share catches up, by at most the weight of two", () => {
    const fleet = new SharedFleet({ routers: 1, capacity: 100_000 });
    fleet.used = 70_000;
    playRounds(fleet, 20, { a: [5_000, 5_000], b: [5_000, 5_000] });
    fleet.used = 85_000;
    const even = playRounds(fleet, 12, { a: [10_000, 5_000], b: [10_000, 5_000] })!;
    expect(even.get("b")! / even.get("a")!).toBeCloseTo(1, 1);
    const missed = playRounds(fleet, 12, { a: [10_000, 8_000], b: [10_000, 2_000] })!;
    expect(missed.get("b")! / missed.get("a")!).toBeGreaterThan(1.5);
    expect(missed.get("b")! / missed.get("a")!).toBeLessThanOrEqual(2.1);
});

test("limits end once room is free again", () => {
    const fleet = new SharedFleet({ routers: 20, capacity: roomOf(usualRate / 0.7) });
    fleet.play(usualLoads, 5_000);
    fleet.play(scaled(usualLoads, () => 3), 8_000);
    expect(fleet.limits!.get(service)!.size).toBeGreaterThan(10);
    fleet.play(scaled(usualLoads, () => 0.5), 8_000);
    expect(fleet.limits?.size ?? 0).toBe(0);
});

describe("while the leader or its notices fail", () => {
    const burst = scaled(usualLoads, () => 3);
    let fleet: SharedFleet;
    const establish = () => {
        fleet = new SharedFleet({ routers: 20, capacity: roomOf(usualRate / 0.7) });
        fleet.play(usualLoads, 5_000);
        fleet.play(burst, 8_000);
        expect(fleet.limits!.get(service)!.size).toBeGreaterThan(10);
    };
    const asksAgain = () => Array.from({ length: 20 }, () => fleet.routers[3]!.mayTakeRoom(service, "large-1", 900));

    test("limits lapse two seconds after the last notice", () => {
        establish();
        fleet.play(burst, 1_000, false);
        expect(asksAgain()).toContain(false);
        fleet.play(burst, 1_500, false);
        expect(asksAgain()).not.toContain(false);
    });

    test("a new leader limits nobody before it knows the demand, and the same customers soon after", () => {
        establish();
        fleet.leader = fleet.createLeader();
        fleet.sendNotices();
        expect(fleet.limits!.size).toBe(0);
        fleet.play(burst, 1_500);
        expect(fleet.limits!.size).toBe(0);
        fleet.play(burst, 3_500);
        expect(fleet.limits!.get(service)!.size).toBeGreaterThan(10);
    });

    test("a leader that was paused begins anew", () => {
        establish();
        jest.advanceTimersByTime(5_000);
        fleet.sendNotices();
        expect(fleet.limits!.size).toBe(0);
    });

    test("demand from before a pause of a router isn't reported", () => {
        establish();
        fleet.routers[3]!.recordAsked(service, "large-1", 1e6);
        jest.advanceTimersByTime(5_000);
        expect(fleet.routers[3]!.takeDemands()?.size).toBe(0);
    });

    test("a second notice right after the first neither changes the limits nor counts demand twice", () => {
        establish();
        fleet.sendNotices();
        const before = fleet.limits;
        fleet.sendNotices();
        expect(before === undefined || fleet.limits === undefined).toBe(true);
        expect(fleet.routers[3]!.takeDemands()).toBeUndefined();
    });
});

test("thousands of customers in reports take bounded memory, and limits stay within their bytes", () => {
    const fleet = new SharedFleet({ routers: 1, capacity: 1_000 });
    fleet.used = 1_000;
    for (let round = 0; round < 20; round++) {
        for (let index = 0; index < 1_000; index++) {
            const customer = `customer-${round}-${index}`;
            fleet.leader.recordReport(new Map([[service, new Map([[customer, { asked: 1e9, taken: 1 }]])]]));
        }
        jest.advanceTimersByTime(500);
        fleet.limits = fleet.leader.computeLimits();
    }
    const limits = [...fleet.limits!.get(service)!];
    expect(limits.length).toBeGreaterThan(5);
    expect(JSON.stringify(Object.fromEntries(limits)).length).toBeLessThan(600);
});

describe("on random fleets", () => {
    const fleets = fc.record({
        routers: fc.integer({ min: 1, max: 140 }),
        /** Requests in 10 s, so that what a customer gets in a play is more than the chance of a few requests. */
        rates: fc.array(fc.integer({ min: 20, max: 400 }), { minLength: 2, maxLength: 30 }),
        factors: fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 30, maxLength: 30 }),
        stormFactor: fc.integer({ min: 2, max: 20 }),
        repeats: fc.integer({ min: 0, max: 3 }),
        seed: fc.integer({ min: 1, max: 1e6 }),
    });
    const toLoads = (rates: readonly number[]) =>
        new Map<string, CustomerLoad>(
            rates.map((rate, index) => [`customer-${index}`, { requestsPerSecond: rate / 10 }]),
        );
    const total = (loads: ReadonlyMap<string, CustomerLoad>) =>
        [...loads.values()].reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);

    test("no customer gets less than half of its fair share while it asks, and none more than the room", () => {
        fc.assert(
            fc.property(fleets, ({ routers, rates, factors, stormFactor, repeats, seed }) => {
                const usual = toLoads(rates);
                const fleet = new SharedFleet({ routers, capacity: roomOf(Math.max(4, total(usual)) / 0.7), seed });
                fleet.play(usual, 8_000);
                const pressed = new Map([...usual].map(([name, { requestsPerSecond }], index) => [name, {
                    requestsPerSecond: requestsPerSecond * factors[index]! * (index === 0 ? stormFactor : 1),
                    repeats: index === 0 ? repeats : 0,
                }]));
                fleet.play(pressed, 6_000);
                const taken = fleet.measure(pressed, milliseconds);
                const names = [...pressed.keys()];
                const usualRates = names.map(name => usual.get(name)!.requestsPerSecond);
                const mean = total(usual) / names.length;
                const fair = new FairShares().divide(
                    names.map((name, index) => ({
                        demand: tokensOf(pressed.get(name)!.requestsPerSecond, milliseconds),
                        weight: Math.max(usualRates[index]!, mean / 2),
                    })),
                    [...taken.values()].reduce((sum, tokens) => sum + tokens, 0),
                );
                names.forEach((name, index) => {
                    const share = (taken.get(name) ?? 0) / fair[index]!;
                    // Below ten requests the part that chance has in them is larger than the bound.
                    expect({ name, share: fair[index]! < 9_000 || share >= 0.5 }).toEqual({ name, share: true });
                });
                expect(fleet.used).toBeLessThanOrEqual(fleet.options.capacity);
            }),
            { seed: 5, numRuns: 12 },
        );
    });

    test("a storm of one doesn't lower what the others get", () => {
        fc.assert(
            fc.property(fleets, ({ routers, rates, stormFactor, repeats, seed }) => {
                const usual = toLoads(rates);
                const fleet = new SharedFleet({ routers, capacity: roomOf(Math.max(4, total(usual)) / 0.7), seed });
                fleet.play(usual, 8_000);
                const storm = new Map(usual).set("customer-0", {
                    requestsPerSecond: usual.get("customer-0")!.requestsPerSecond * stormFactor,
                    repeats,
                });
                fleet.play(storm, 6_000);
                const taken = fleet.measure(storm, milliseconds);
                const others = [...usual].slice(1);
                const asked = tokensOf(total(new Map(others)), milliseconds);
                const got = others.reduce((sum, [name]) => sum + (taken.get(name) ?? 0), 0);
                expect(got / asked).toBeGreaterThan(0.85);
            }),
            { seed: 5, numRuns: 12 },
        );
    });
});
