import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import {
    BookingRefusedError,
    BookingRunningError,
    BookingUnknownError,
    IdempotencyKeyReusedError,
    Outcome,
} from "../../../src/errors/index.js";
import { Availability } from "../../../src/stand-ins/platform/index.js";
import { LedgerFixture, type LedgerRouter } from "../../process/ledger/ledger-fixture.js";

let fixture: LedgerFixture;
let first: LedgerRouter;
let second: LedgerRouter;

beforeEach(() => {
    fixture = new LedgerFixture();
    first = fixture.add();
    second = fixture.add();
});

afterEach(async () => {
    await fixture.stop();
});

async function settle<Value>(promise: Promise<Value>, milliseconds = 1_000): Promise<Value> {
    promise.catch(() => undefined);
    await jest.advanceTimersByTimeAsync(milliseconds);
    return promise;
}

const runs = (key: string) => fixture.service.runs.get(key) ?? 0;
const text = (body: Uint8Array) => new TextDecoder().decode(body);

describe("BookingService", () => {
    test("gives the recorded answer to the same key and body, at any router, and refuses another body", async () => {
        const answer = await settle(first.book("a"));
        expect(answer).toMatchObject({ replayedFrom: undefined, answer: { status: 201 } });
        const again = await settle(second.book("a"));
        expect(again).toMatchObject({ replayedFrom: "request-1", answer: { status: 201, contentType: "text/plain" } });
        expect(text(again.answer.body)).toBe("a run 1");
        await expect(settle(second.book("a", "other"))).rejects.toThrow(IdempotencyKeyReusedError);
        expect(runs("a")).toBe(1);
    });

    test("a request with the key of a running one waits for its answer", async () => {
        fixture.service.latencyMilliseconds = 1_500;
        const booked = first.book("a");
        await jest.advanceTimersByTimeAsync(100);
        const waiting = second.book("a");
        const impatient = first.book("a", "truck", 500);
        await expect(settle(impatient, 600)).rejects.toThrow(BookingRunningError);
        expect(text((await settle(waiting, 3_000)).answer.body)).toBe("a run 1");
        expect((await booked).replayedFrom).toBeUndefined();
        expect(runs("a")).toBe(1);
    });

    test("two deliveries at the same moment run once", async () => {
        const answers = await settle(Promise.all([first.book("a"), second.book("a"), first.book("a")]), 3_000);
        expect(answers.filter(answer => answer.replayedFrom === undefined)).toHaveLength(1);
        expect(runs("a")).toBe(1);
    });

    test("a claim without an outcome after its router's death is unknown, and is not run again", async () => {
        fixture.service.latencyMilliseconds = 60_000;
        first.book("a").catch(() => undefined);
        await jest.advanceTimersByTimeAsync(100);
        first.alive = false;
        const failure = await settle(second.book("a").catch((error: unknown) => error), 3_000);
        expect(failure).toBeInstanceOf(BookingUnknownError);
        expect(failure).toMatchObject({ outcome: Outcome.unknown, firstRequestId: "request-1" });
    });

    test("a lost answer of the service is unknown for every later request", async () => {
        fixture.service.behaviour = "run-and-lose";
        await expect(settle(first.book("a"))).rejects.toThrow(BookingUnknownError);
        fixture.service.behaviour = "answer";
        await expect(settle(second.book("a"))).rejects.toThrow(BookingUnknownError);
        expect(runs("a")).toBe(1);
    });

    test("a booking that the service refused may be tried again with its key", async () => {
        fixture.service.behaviour = "refuse";
        await expect(settle(first.book("a"))).rejects.toThrow("the service refused");
        fixture.service.behaviour = "answer";
        await settle(second.book("a"));
        expect(runs("a")).toBe(1);
    });

    test.each(Object.values(Availability).filter(each => each !== Availability.up))(
        "while the platform is %s a booking is refused as not-run within its deadline, and may run later",
        async availability => {
            fixture.routers.forEach(router => router.platform.faults.availability = availability);
            const refused = first.book("a", "truck", 2_000).catch((error: unknown) => error);
            const failure = await settle(refused, 2_000);
            expect(failure).toBeInstanceOf(BookingRefusedError);
            expect(failure).toMatchObject({ outcome: Outcome.notRun });
            expect(runs("a")).toBe(0);
            fixture.routers.forEach(router => router.platform.faults.availability = Availability.up);
            await jest.advanceTimersByTimeAsync(5_000);
            await settle(second.book("a"));
            expect(runs("a")).toBe(1);
        },
    );

    test("a claim whose answer was lost is recognised, and runs once", async () => {
        fixture.routers.forEach(router => router.platform.faults.loseAnswers = 2);
        await settle(first.book("a"), 3_000);
        await settle(second.book("a"), 3_000);
        expect(runs("a")).toBe(1);
    });

    test("a claim that became durable after its caller was refused frees its key again", async () => {
        fixture.routers.forEach(router => router.platform.faults.latencyMilliseconds = 1_500);
        await expect(settle(first.book("a", "truck", 500), 600)).rejects.toThrow(BookingRefusedError);
        await jest.advanceTimersByTimeAsync(2_000);
        fixture.routers.forEach(router => router.platform.faults.latencyMilliseconds = 0);
        await jest.advanceTimersByTimeAsync(10_000);
        await settle(second.book("a"));
        expect(runs("a")).toBe(1);
    });

    test("a router that does not answer its peers is passed over, and its own view does not run a key again", async () => {
        for (const paused of [first, second]) {
            paused.paused = true;
            const other = paused === first ? second : first;
            await settle(Promise.all(["a", "b", "c", "d"].map(key => other.book(`${paused.id}-${key}`))), 4_000);
            paused.paused = false;
            await settle(Promise.all(["a", "b", "c", "d"].map(key => paused.book(`${paused.id}-${key}`))), 4_000);
        }
        expect([...fixture.service.runs.values()]).toEqual(Array(8).fill(1));
    });

    test("a long answer is recorded without its body", async () => {
        const call = fixture.service.call.bind(fixture.service);
        fixture.service.call = async name => {
            await call(name);
            return { kind: "response", answer: { status: 201, contentType: "x", body: new Uint8Array(3_000) } };
        };
        expect((await settle(first.book("a"))).answer.body).toHaveLength(3_000);
        expect(await settle(first.book("a"))).toMatchObject({ bodyOmitted: true, answer: { status: 201 } });
    });
});
