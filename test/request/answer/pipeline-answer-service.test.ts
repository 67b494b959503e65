import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { AnswerHarness, type FakeAttempt, RecordingCaller } from "./fakes.js";

let harness: AnswerHarness;
beforeEach(() => {
    harness = new AnswerHarness();
});

async function advanceTime(milliseconds = 0) {
    await jest.advanceTimersByTimeAsync(milliseconds);
}

describe("PipelineAnswerService", () => {
    test("forwards tokens and ends the answer only at the end frame", async () => {
        const caller = new RecordingCaller(harness);
        harness.lastAttempt.token(0);
        harness.lastAttempt.token(1);
        expect(caller.end).toBeUndefined();
        harness.lastAttempt.end(2);
        await advanceTime();
        expect(caller.text).toBe("t0t1");
        expect(caller.end).toMatchObject({ completionTokens: 2, finishReason: "stop" });
        expect(harness.inFlight).toBe(0);
    });

    test.each<[string, (attempt: FakeAttempt) => void]>([
        ["a repeated token", attempt => attempt.token(0)],
        ["a skipped token", attempt => attempt.token(2)],
        ["a token of another attempt", attempt => attempt.token(1, { attemptId: "other" })],
        ["a token of another plan", attempt => attempt.token(1, { planId: "other" })],
        ["a token that skipped layers", attempt => attempt.token(1, { layers: [{ first: 0, last: 3 }] })],
        [
            "a token with layers in the wrong order",
            attempt => attempt.token(1, { layers: [{ first: 4, last: 7 }, { first: 0, last: 3 }] }),
        ],
        ["an end frame with the wrong token count", attempt => attempt.end(2)],
    ])("cancels an attempt that sends %s and resumes on another backend server", async (_name, sendInvalidFrame) => {
        const caller = new RecordingCaller(harness);
        const first = harness.lastAttempt;
        first.token(0);
        sendInvalidFrame(first);
        await advanceTime();
        expect(first.cancelled).toBe(true);
        expect(harness.attempts).toHaveLength(2);
        expect(harness.lastAttempt.backendServer).toBe("a2");
        expect(harness.lastAttempt.request.generated).toEqual(["t0"]);
        first.token(1);
        harness.lastAttempt.token(1);
        harness.lastAttempt.end(2);
        await advanceTime();
        expect(caller.positions).toEqual([0, 1]);
        expect(caller.end).toBeDefined();
        expect(harness.failedServers).toContain("a1");
    });

    test("offers the surviving stage for reuse after another stage fails, also after a second failure", async () => {
        const caller = new RecordingCaller(harness);
        harness.lastAttempt.token(0);
        harness.lastAttempt.failure("stage-unreachable", true, "b1");
        await advanceTime();
        expect(harness.choices[1]!.survivingStages).toEqual([
            expect.objectContaining({
                backendServer: "a1",
                attemptId: harness.attempts[0]!.request.attemptId,
                usable: true,
            }),
        ]);
        harness.lastAttempt.failure("stage-unreachable", true, "b2");
        await advanceTime();
        expect([...harness.choices[2]!.excluded].sort()).toEqual(["b1", "b2"]);
        harness.lastAttempt.token(1);
        harness.lastAttempt.end(2);
        await advanceTime();
        expect(caller.end).toBeDefined();
        expect(caller.positions).toEqual([0, 1]);
    });

    test("replaces a pipeline that sends heartbeats but no tokens", async () => {
        const caller = new RecordingCaller(harness);
        const first = harness.lastAttempt;
        first.token(0);
        harness.unreachableServers.add("b1");
        for (let beat = 0; beat < 8; beat++) {
            first.heartbeat();
            await advanceTime(100);
        }
        expect(first.cancelled).toBe(true);
        expect(harness.lastAttempt.request.stages.map(stage => stage.backendServer)).toContain("b2");
        harness.lastAttempt.token(1);
        expect(caller.positions).toEqual([0, 1]);
    });

    test("does not treat a paused caller as a stalled pipeline", async () => {
        const caller = new RecordingCaller(harness);
        harness.lastAttempt.token(0);
        caller.answer.pause();
        expect(harness.lastAttempt.paused).toBe(true);
        await advanceTime(5_000);
        expect(harness.attempts).toHaveLength(1);
        caller.answer.resume();
        await advanceTime(300);
        harness.lastAttempt.token(1);
        expect(harness.attempts).toHaveLength(1);
        expect(caller.positions).toEqual([0, 1]);
    });

    test("reports not-run only if every backend server refused before any layer ran", async () => {
        const refusedCaller = new RecordingCaller(harness);
        while (refusedCaller.error === undefined) {
            if (harness.attempts.length % 2 === 0) {
                harness.lastAttempt.failure("overloaded", false);
            }
            else {
                harness.lastAttempt.break("refused", false);
            }
            await advanceTime(300);
        }
        expect(refusedCaller.error.outcome).toBe("not-run");

        const startedCaller = new RecordingCaller(harness, { deadline: performance.now() + 1_000 });
        harness.lastAttempt.break("broken", true);
        await advanceTime(2_000);
        expect(startedCaller.error?.outcome).toBe("failed");
        expect(harness.inFlight).toBe(0);
    });

    test("retries an answer without tokens only within the retry budget, until the deadline", async () => {
        harness.remainingRetries = 1;
        const caller = new RecordingCaller(harness, { deadline: performance.now() + 2_000 });
        harness.lastAttempt.break("broken", true);
        await advanceTime(100);
        harness.lastAttempt.break("broken", true);
        await advanceTime(1_000);
        expect(harness.attempts).toHaveLength(2);
        await advanceTime(1_000);
        expect(caller.error).toMatchObject({ code: "deadline-exceeded", outcome: "failed" });
    });

    test("rejects an answer as not-run if its first token is expected after the deadline", async () => {
        harness.expectedFirstTokenMilliseconds = 20_000;
        const caller = new RecordingCaller(harness);
        await advanceTime();
        expect(caller.error).toMatchObject({ code: "deadline-unreachable", outcome: "not-run", retryAfterSeconds: 20 });
        expect(harness.attempts).toHaveLength(0);
    });

    test("sends the remaining time to the engine and fails at the deadline", async () => {
        const caller = new RecordingCaller(harness, { deadline: performance.now() + 700 });
        expect(harness.lastAttempt.request.timeoutMilliseconds).toBeCloseTo(700, -1);
        harness.lastAttempt.token(0);
        await advanceTime(400);
        harness.lastAttempt.token(1);
        await advanceTime(400);
        expect(caller.error).toMatchObject({ code: "deadline-exceeded", outcome: "failed" });
        expect(harness.lastAttempt.cancelled).toBe(true);
    });

    test("cancels all work when the caller disconnects, also during recovery", async () => {
        const caller = new RecordingCaller(harness);
        caller.disconnect();
        expect(harness.lastAttempt.cancelled).toBe(true);
        await advanceTime();
        expect(caller.error).toMatchObject({ code: "caller-gone", outcome: "failed" });
        const recoveringCaller = new RecordingCaller(harness);
        harness.lastAttempt.break("silent", true);
        recoveringCaller.disconnect();
        await advanceTime(5_000);
        expect(harness.attempts).toHaveLength(2);
        expect(harness.inFlight).toBe(0);
    });
});
