import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { Caller, type ScriptedAttempt, World } from "./fakes.js";

let world: World;
beforeEach(() => {
    world = new World();
});

async function settle(milliseconds = 0) {
    await jest.advanceTimersByTimeAsync(milliseconds);
}

describe("PipelineAnswerService", () => {
    test("passes on a whole answer and ends it only with its end frame", async () => {
        const caller = new Caller(world);
        world.last.token(0);
        world.last.token(1);
        expect(caller.end).toBeUndefined();
        world.last.end(2);
        await settle();
        expect(caller.text).toBe("t0t1");
        expect(caller.end).toMatchObject({ completionTokens: 2, finishReason: "stop" });
        expect(world.inFlight).toBe(0);
    });

    test.each<[string, (attempt: ScriptedAttempt) => void]>([
        ["a repeated token", attempt => attempt.token(0)],
        ["a skipped token", attempt => attempt.token(2)],
        ["a token of another attempt", attempt => attempt.token(1, { attemptId: "other" })],
        ["a token of another plan", attempt => attempt.token(1, { planId: "other" })],
        ["layers that were left out", attempt => attempt.token(1, { layers: [{ first: 0, last: 3 }] })],
        [
            "layers in the wrong order",
            attempt => attempt.token(1, { layers: [{ first: 4, last: 7 }, { first: 0, last: 3 }] }),
        ],
        ["an end with the wrong count", attempt => attempt.end(2)],
    ])("gives up an attempt that sends %s, and resumes elsewhere", async (_name, misbehave) => {
        const caller = new Caller(world);
        const first = world.last;
        first.token(0);
        misbehave(first);
        await settle();
        expect(first.cancelled).toBe(true);
        expect(world.attempts).toHaveLength(2);
        expect(world.last.backendServer).toBe("a2");
        expect(world.last.request.generated).toEqual(["t0"]);
        first.token(1);
        world.last.token(1);
        world.last.end(2);
        await settle();
        expect(caller.positions).toEqual([0, 1]);
        expect(caller.end).toBeDefined();
        expect(world.blamed).toContain("a1");
    });

    test("keeps the surviving stage after another dies, also twice", async () => {
        const caller = new Caller(world);
        world.last.token(0);
        world.last.failure("stage-unreachable", true, "b1");
        await settle();
        expect(world.choices[1]!.survivingStages).toEqual([
            expect.objectContaining({
                backendServer: "a1",
                attemptId: world.attempts[0]!.request.attemptId,
                usable: true,
            }),
        ]);
        world.last.failure("stage-unreachable", true, "b2");
        await settle();
        expect([...world.choices[2]!.excluded].sort()).toEqual(["b1", "b2"]);
        world.last.token(1);
        world.last.end(2);
        await settle();
        expect(caller.end).toBeDefined();
        expect(caller.positions).toEqual([0, 1]);
    });

    test("replaces a pipeline that sends heartbeats but no tokens", async () => {
        const caller = new Caller(world);
        const first = world.last;
        first.token(0);
        world.unreachable.add("b1");
        for (let beat = 0; beat < 8; beat++) {
            first.heartbeat();
            await settle(100);
        }
        expect(first.cancelled).toBe(true);
        expect(world.last.request.stages.map(stage => stage.backendServer)).toContain("b2");
        world.last.token(1);
        expect(caller.positions).toEqual([0, 1]);
    });

    test("does not take a paused caller for a stalled pipeline", async () => {
        const caller = new Caller(world);
        world.last.token(0);
        caller.answer.pause();
        expect(world.last.paused).toBe(true);
        await settle(5_000);
        expect(world.attempts).toHaveLength(1);
        caller.answer.resume();
        await settle(300);
        world.last.token(1);
        expect(world.attempts).toHaveLength(1);
        expect(caller.positions).toEqual([0, 1]);
    });

    test("says not-run only when every backend server refused before starting", async () => {
        const refused = new Caller(world);
        while (refused.error === undefined) {
            if (world.attempts.length % 2 === 0) {
                world.last.failure("overloaded", false);
            }
            else {
                world.last.break("refused", false);
            }
            await settle(300);
        }
        expect(refused.error.outcome).toBe("not-run");

        const started = new Caller(world, { deadline: performance.now() + 1_000 });
        world.last.break("broken", true);
        await settle(2_000);
        expect(started.error?.outcome).toBe("failed");
        expect(world.inFlight).toBe(0);
    });

    test("retries what gave no token only within the budget, until the deadline", async () => {
        world.retriesLeft = 1;
        const caller = new Caller(world, { deadline: performance.now() + 2_000 });
        world.last.break("broken", true);
        await settle(100);
        world.last.break("broken", true);
        await settle(1_000);
        expect(world.attempts).toHaveLength(2);
        await settle(1_000);
        expect(caller.error).toMatchObject({ code: "deadline-exceeded", outcome: "failed" });
    });

    test("refuses as not-run what cannot give a first token in time", async () => {
        world.expectedFirstTokenMilliseconds = 20_000;
        const caller = new Caller(world);
        await settle();
        expect(caller.error).toMatchObject({ code: "deadline-unreachable", outcome: "not-run", retryAfterSeconds: 20 });
        expect(world.attempts).toHaveLength(0);
    });

    test("passes the remaining time on and ends at the deadline", async () => {
        const caller = new Caller(world, { deadline: performance.now() + 700 });
        expect(world.last.request.timeoutMilliseconds).toBeCloseTo(700, -1);
        world.last.token(0);
        await settle(400);
        world.last.token(1);
        await settle(400);
        expect(caller.error).toMatchObject({ code: "deadline-exceeded", outcome: "failed" });
        expect(world.last.cancelled).toBe(true);
    });

    test("cancels all work when the caller goes away, also while recovering", async () => {
        const caller = new Caller(world);
        caller.answer.cancel();
        expect(world.last.cancelled).toBe(true);
        const recovering = new Caller(world);
        world.last.break("silent", true);
        recovering.answer.cancel();
        await settle(5_000);
        expect(world.attempts).toHaveLength(2);
        expect(world.inFlight).toBe(0);
    });
});
