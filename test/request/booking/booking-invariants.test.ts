/** Interleavings of bookings with lost answers, outages, pauses, crashes and a slow platform. */
import { describe, expect, jest, test } from "@jest/globals";
import fastCheck from "fast-check";
import { Outcome, PomelostallError } from "../../../src/errors/index.js";
import { Availability } from "../../../src/stand-ins/platform/index.js";
import { LedgerFixture } from "../../process/ledger/ledger-fixture.js";

const routerTotal = 3;
const keyTotal = 3;

const router = fastCheck.nat({ max: routerTotal - 1 });

const step = fastCheck.oneof(
    {
        weight: 6,
        arbitrary: fastCheck.record({
            kind: fastCheck.constant("book" as const),
            router,
            key: fastCheck.nat({ max: keyTotal - 1 }),
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
        router,
        answers: fastCheck.integer({ min: 1, max: 4 }),
    }),
    fastCheck.record({
        kind: fastCheck.constant("availability" as const),
        router,
        availability: fastCheck.constantFrom(...Object.values(Availability)),
    }),
    fastCheck.record({
        kind: fastCheck.constant("latency" as const),
        router,
        milliseconds: fastCheck.constantFrom(0, 5, 400, 2_500),
    }),
    fastCheck.record({ kind: fastCheck.constant("pause" as const), router, paused: fastCheck.boolean() }),
    fastCheck.record({ kind: fastCheck.constant("older" as const), router, older: fastCheck.boolean() }),
    fastCheck.record({ kind: fastCheck.constant("crash" as const), router }),
    fastCheck.record({ kind: fastCheck.constant("maintain" as const), router }),
    fastCheck.record({
        kind: fastCheck.constant("service" as const),
        behaviour: fastCheck.constantFrom("answer" as const, "refuse" as const, "run-and-lose" as const),
        latency: fastCheck.constantFrom(0, 200, 2_000),
    }),
);
type Step = typeof step extends fastCheck.Arbitrary<infer Value> ? Value : never;

interface Ended {
    readonly requestId: string;
    readonly replayedFrom?: string;
    readonly outcome?: Outcome;
    readonly answered: boolean;
}

class Run {
    readonly fixture = new LedgerFixture();
    readonly ended: Ended[] = [];
    private requests = 0;

    constructor() {
        for (let index = 0; index < routerTotal; index++) {
            this.fixture.add();
        }
    }

    async apply(each: Step): Promise<void> {
        const target = "router" in each ? this.fixture.routers[each.router]! : this.fixture.routers[0]!;
        switch (each.kind) {
            case "book":
                if (target.alive) {
                    this.book(target, `key-${each.key}`, each.timeout);
                }
                break;
            case "wait":
                await jest.advanceTimersByTimeAsync(each.milliseconds);
                break;
            case "lose":
                target.platform.faults.loseAnswers = each.answers;
                break;
            case "availability":
                target.platform.faults.availability = each.availability;
                break;
            case "latency":
                target.platform.faults.latencyMilliseconds = each.milliseconds;
                break;
            case "pause":
                target.paused = each.paused;
                break;
            case "older":
                this.fixture.platform.rememberData();
                target.platform.faults.olderData = each.older;
                break;
            case "crash":
                // One router always stays.
                if (this.fixture.liveIds().length > 1) {
                    await target.crash();
                }
                break;
            case "maintain":
                void target.ledger.maintain();
                break;
            case "service":
                this.fixture.service.behaviour = each.behaviour;
                this.fixture.service.latencyMilliseconds = each.latency;
                break;
        }
    }

    /** Ends every fault, lets everything finish, and books each key once more. */
    async heal(): Promise<void> {
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
        for (let key = 0; key < keyTotal; key++) {
            this.book(survivor, `key-${key}`, 8_000);
        }
        await jest.advanceTimersByTimeAsync(20_000);
    }

    private book(target: LedgerFixture["routers"][number], key: string, timeout: number): void {
        const requestId = `request-${++this.requests}`;
        target.book(key, "truck", timeout, requestId).then(
            answer => this.ended.push({ requestId, replayedFrom: answer.replayedFrom, answered: true }),
            (error: unknown) => {
                const outcome = error instanceof PomelostallError ? error.outcome : undefined;
                this.ended.push({ requestId, outcome, answered: false });
            },
        );
    }
}

async function checkInvariants(steps: readonly Step[]): Promise<void> {
    const run = new Run();
    const { service } = run.fixture;
    try {
        for (const each of steps) {
            await run.apply(each);
        }
        await run.heal();
        for (const total of service.runs.values()) {
            expect(total).toBeLessThanOrEqual(1);
        }
        for (const { requestId, replayedFrom, outcome, answered } of run.ended) {
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

describe("a booking with a key", () => {
    test("runs at most once, not-run is true, and an answer is that of the one run", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.array(step, { minLength: 5, maxLength: 40 }), checkInvariants),
            { seed: 5, numRuns: 60, endOnFailure: false },
        );
    });
});
