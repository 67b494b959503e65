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
let firstRouter: LedgerRouter;
let secondRouter: LedgerRouter;

beforeEach(() => {
    fixture = new LedgerFixture();
    firstRouter = fixture.add();
    secondRouter = fixture.add();
});

afterEach(async () => {
    await fixture.stop();
});

async function advanceAndAwait<Value>(promise: Promise<Value>, milliseconds = 1_000): Promise<Value> {
    promise.catch(() => undefined);
    await jest.advanceTimersByTimeAsync(milliseconds);
    return promise;
}

const runCount = (key: string) => fixture.service.runs.get(key) ?? 0;
const decodeText = (body: Uint8Array) => new TextDecoder().decode(body);

describe("BookingService", () => {
    test("replays the recorded response to the same key and body on any router, and rejects another body", async () => {
        const answer = await advanceAndAwait(firstRouter.book("a"));
        expect(answer).toMatchObject({ replayedFrom: undefined, answer: { status: 201 } });
        const replayed = await advanceAndAwait(secondRouter.book("a"));
        expect(replayed).toMatchObject({
            replayedFrom: "request-1",
            answer: { status: 201, contentType: "text/plain" },
        });
        expect(decodeText(replayed.answer.body)).toBe("a run 1");
        await expect(advanceAndAwait(secondRouter.book("a", "other"))).rejects.toThrow(IdempotencyKeyReusedError);
        expect(runCount("a")).toBe(1);
    });

    test("a request with the key of a running booking waits for its response until the deadline", async () => {
        fixture.service.latencyMilliseconds = 1_500;
        const firstBooking = firstRouter.book("a");
        await jest.advanceTimersByTimeAsync(100);
        const waitingRequest = secondRouter.book("a");
        const shortDeadlineRequest = firstRouter.book("a", "truck", 500);
        await expect(advanceAndAwait(shortDeadlineRequest, 600)).rejects.toThrow(BookingRunningError);
        expect(decodeText((await advanceAndAwait(waitingRequest, 3_000)).answer.body)).toBe("a run 1");
        expect((await firstBooking).replayedFrom).toBeUndefined();
        expect(runCount("a")).toBe(1);
    });

    test("concurrent requests with the same key run once", async () => {
        const answers = await advanceAndAwait(
            Promise.all([firstRouter.book("a"), secondRouter.book("a"), firstRouter.book("a")]),
            3_000,
        );
        expect(answers.filter(answer => answer.replayedFrom === undefined)).toHaveLength(1);
        expect(runCount("a")).toBe(1);
    });

    test("a claim without an outcome whose router has died is reported as unknown", async () => {
        fixture.service.latencyMilliseconds = 60_000;
        firstRouter.book("a").catch(() => undefined);
        await jest.advanceTimersByTimeAsync(100);
        firstRouter.alive = false;
        const failure = await advanceAndAwait(secondRouter.book("a").catch((error: unknown) => error), 3_000);
        expect(failure).toBeInstanceOf(BookingUnknownError);
        expect(failure).toMatchObject({ outcome: Outcome.unknown, firstRequestId: "request-1" });
    });

    test("a booking whose service response was lost is reported as unknown to every later request", async () => {
        fixture.service.behaviour = "run-and-lose";
        await expect(advanceAndAwait(firstRouter.book("a"))).rejects.toThrow(BookingUnknownError);
        fixture.service.behaviour = "answer";
        await expect(advanceAndAwait(secondRouter.book("a"))).rejects.toThrow(BookingUnknownError);
        expect(runCount("a")).toBe(1);
    });

    test("a booking that the service refused can be retried with the same key", async () => {
        fixture.service.behaviour = "refuse";
        await expect(advanceAndAwait(firstRouter.book("a"))).rejects.toThrow("the service refused");
        fixture.service.behaviour = "answer";
        await advanceAndAwait(secondRouter.book("a"));
        expect(runCount("a")).toBe(1);
    });

    test.each(Object.values(Availability).filter(each => each !== Availability.up))(
        "while the platform is %s a booking is refused as not-run within its deadline, and can run later",
        async availability => {
            fixture.routers.forEach(router => router.platform.faults.availability = availability);
            const refused = firstRouter.book("a", "truck", 2_000).catch((error: unknown) => error);
            const failure = await advanceAndAwait(refused, 2_000);
            expect(failure).toBeInstanceOf(BookingRefusedError);
            expect(failure).toMatchObject({ outcome: Outcome.notRun });
            expect(runCount("a")).toBe(0);
            fixture.routers.forEach(router => router.platform.faults.availability = Availability.up);
            await jest.advanceTimersByTimeAsync(5_000);
            await advanceAndAwait(secondRouter.book("a"));
            expect(runCount("a")).toBe(1);
        },
    );

    test("a claim for which the platform's reply was lost is recognised, and its booking runs once", async () => {
        fixture.routers.forEach(router => router.platform.faults.responsesToLose = 2);
        await advanceAndAwait(firstRouter.book("a"), 3_000);
        await advanceAndAwait(secondRouter.book("a"), 3_000);
        expect(runCount("a")).toBe(1);
    });

    test("a claim that becomes durable after its caller was refused releases its key", async () => {
        fixture.routers.forEach(router => router.platform.faults.latencyMilliseconds = 1_500);
        await expect(advanceAndAwait(firstRouter.book("a", "truck", 500), 600)).rejects.toThrow(BookingRefusedError);
        await jest.advanceTimersByTimeAsync(2_000);
        fixture.routers.forEach(router => router.platform.faults.latencyMilliseconds = 0);
        await jest.advanceTimersByTimeAsync(10_000);
        await advanceAndAwait(secondRouter.book("a"));
        expect(runCount("a")).toBe(1);
    });

    test("bookings bypass a paused router, which does not run their keys again after it resumes", async () => {
        for (const pausedRouter of [firstRouter, secondRouter]) {
            pausedRouter.paused = true;
            const otherRouter = pausedRouter === firstRouter ? secondRouter : firstRouter;
            await advanceAndAwait(
                Promise.all(["a", "b", "c", "d"].map(key => otherRouter.book(`${pausedRouter.id}-${key}`))),
                4_000,
            );
            pausedRouter.paused = false;
            await advanceAndAwait(
                Promise.all(["a", "b", "c", "d"].map(key => pausedRouter.book(`${pausedRouter.id}-${key}`))),
                4_000,
            );
        }
        expect([...fixture.service.runs.values()]).toEqual(Array(8).fill(1));
    });

    test("a response over the size limit is recorded without its body", async () => {
        const call = fixture.service.call.bind(fixture.service);
        fixture.service.call = async name => {
            await call(name);
            return { kind: "response", response: { status: 201, contentType: "x", body: new Uint8Array(3_000) } };
        };
        expect((await advanceAndAwait(firstRouter.book("a"))).answer.body).toHaveLength(3_000);
        expect(await advanceAndAwait(firstRouter.book("a"))).toMatchObject({
            bodyOmitted: true,
            answer: { status: 201 },
        });
    });
});
