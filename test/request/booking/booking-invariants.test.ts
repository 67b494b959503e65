/**
 * Property test of bookings under random sequences of lost replies, outages, stale platform data, pauses, crashes and
 * latency.
 */
import { describe, expect, jest, test } from "@jest/globals";
import fastCheck from "fast-check";
import { Outcome, PomelostallError } from "../../../src/errors/index.js";
import { Availability } from "../../../src/stand-ins/platform/index.js";
import { LedgerFixture } from "../../process/ledger/ledger-fixture.js";

const routerCount = 3;
const keyCount = 3;

const routerIndexArbitrary = fastCheck.nat({ max: routerCount - 1 });

const stepArbitrary = fastCheck.oneof(
    {
        weight: 6,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("book" as const),
            router: routerIndexArbitrary,
            key: fastCheck.nat({ max: keyCount - 1 }),
            timeout: fastCheck.constantFrom(300, 2_000, 8_000),
        }),
    },
    {
        weight: 6,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("wait" as const),
            milliseconds: fastCheck.constantFrom(1, 20, 150, 700, 3_000),
        }),
    },
    fastCheck.record({
        kind: fastCheck.constant("lose" as const),
        router: routerIndexArbitrary,
        answers: fastCheck.integer({ min: 1, max: 4 }),
    }),
    fastCheck.record({
        kind: fastCheck.constant("availability" as const),
        router: routerIndexArbitrary,
        availability: fastCheck.constantFrom(...Object.values(Availability)),
    }),
    fastCheck.record({
        kind: fastCheck.constant("latency" as const),
        router: routerIndexArbitrary,
        milliseconds: fastCheck.constantFrom(0, 5, 400, 2_500),
    }),
    fastCheck.record({
        kind: fastCheck.constant("pause" as const),
        router: routerIndexArbitrary,
        paused: fastCheck.boolean(),
    }),
    fastCheck.record({
        kind: fastCheck.constant("older" as const),
        router: routerIndexArbitrary,
        older: fastCheck.boolean(),
    }),
    fastCheck.record({ kind: fastCheck.constant("crash" as const), router: routerIndexArbitrary }),
    fastCheck.record({ kind: fastCheck.constant("maintain" as const), router: routerIndexArbitrary }),
    fastCheck.record({
        kind: fastCheck.constant("service" as const),
        behaviour: fastCheck.constantFrom("answer" as const, "refuse" as const, "run-and-lose" as const),
        latency: fastCheck.constantFrom(0, 200, 2_000),
    }),
);
type Step = typeof stepArbitrary extends fastCheck.Arbitrary<infer Value> ? Value : never;

interface RequestResult {
    readonly requestId: string;
    readonly replayedFrom?: string;
    readonly outcome?: Outcome;
    readonly answered: boolean;
}

class SimulationRun {
    readonly fixture = new LedgerFixture();
    readonly results: RequestResult[] = [];
    private requestCount = 0;

    constructor() {
        for (let index = 0; index < routerCount; index++) {
            this.fixture.add();
        }
    }

    async apply(step: Step): Promise<void> {
        const target = "router" in step ? this.fixture.routers[step.router]! : this.fixture.routers[0]!;
        switch (step.kind) {
            case "book":
                if (target.alive) {
                    this.book(target, `key-${step.key}`, step.timeout);
                }
                break;
            case "wait":
                await jest.advanceTimersByTimeAsync(step.milliseconds);
                break;
            case "lose":
                target.platform.faults.responsesToLose = step.answers;
                break;
            case "availability":
                target.platform.faults.availability = step.availability;
                break;
            case "latency":
                target.platform.faults.latencyMilliseconds = step.milliseconds;
                break;
            case "pause":
                target.paused = step.paused;
                break;
            case "older":
                this.fixture.platform.saveSnapshot();
                target.platform.faults.staleReads = step.older;
                break;
            case "crash":
                // At least one router must stay alive to book again at the end.
                if (this.fixture.liveIds().length > 1) {
                    await target.crash();
                }
                break;
            case "maintain":
                void target.ledger.maintain();
                break;
            case "service":
                this.fixture.service.behaviour = step.behaviour;
                this.fixture.service.latencyMilliseconds = step.latency;
                break;
        }
    }

    /** Clears all faults, waits until pending work has finished, and books each key once more. */
    async recoverAndRebook(): Promise<void> {
        this.fixture.service.behaviour = "answer";
        this.fixture.service.latencyMilliseconds = 0;
        for (const each of this.fixture.routers) {
            Object.assign(each.platform.faults, {
                availability: Availability.up,
                latencyMilliseconds: 0,
                loseAnswers: 0,
                olderData: false,
            });
            each.paused = false;
        }
        await jest.advanceTimersByTimeAsync(10_000);
        const survivor = this.fixture.routers.find(each => each.alive)!;
        for (let key = 0; key < keyCount; key++) {
            this.book(survivor, `key-${key}`, 8_000);
        }
        await jest.advanceTimersByTimeAsync(20_000);
    }

    private book(target: LedgerFixture["routers"][number], key: string, timeout: number): void {
        const requestId = `request-${++this.requestCount}`;
        target.book(key, "truck", timeout, requestId).then(
            answer => this.results.push({ requestId, replayedFrom: answer.replayedFrom, answered: true }),
            (error: unknown) => {
                const outcome = error instanceof PomelostallError ? error.outcome : undefined;
                this.results.push({ requestId, outcome, answered: false });
            },
        );
    }
}

async function checkInvariants(steps: readonly Step[]): Promise<void> {
    const run = new SimulationRun();
    const { service } = run.fixture;
    try {
        for (const each of steps) {
            await run.apply(each);
        }
        await run.recoverAndRebook();
        for (const runCount of service.runs.values()) {
            expect(runCount).toBeLessThanOrEqual(1);
        }
        for (const { requestId, replayedFrom, outcome, answered } of run.results) {
            const runs = service.runsByRequest.get(requestId) ?? 0;
            if (outcome === Outcome.notRun) {
                expect({ requestId, runs }).toEqual({ requestId, runs: 0 });
            }
            if (answered) {
                expect(service.runsByRequest.get(replayedFrom ?? requestId)).toBe(1);
            }
        }
    }
    finally {
        await run.fixture.stop();
        jest.clearAllTimers();
    }
}

describe("a booking with an idempotency key", () => {
    test("runs at most once, never runs if reported as not-run, and returns the response of its only run", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(stepArbitrary, { minLength: 5, maxLength: 40 }), checkInvariants),
            { seed: 5, numRuns: 60, endOnFailure: false },
        );
    });
});
