import { expect, jest, test } from "@jest/globals";
import type { IncomingMessage, ServerResponse } from "node:http";
import { PassThrough } from "node:stream";
import { SilentMetrics } from "../../../src/common/metrics.js";
import type { AdmissionTicket } from "../../../src/request/admission/types.js";
import { PipelineAnswerService } from "../../../src/request/answer/pipeline-answer-service.js";
import { ChatHandler } from "../../../src/request/chat/chat-handler.js";
import { AnswerHarness, model, route } from "../answer/fakes.js";

/** Handles one chat request whose caller disconnects when the returned controller is aborted. */
function handleChat(answers: AnswerHarness, stream: boolean) {
    const connection = new AbortController();
    const releasedTokens: number[] = [];
    const ticket: AdmissionTicket = { queuedMilliseconds: 0, release: tokens => void releasedTokens.push(tokens) };
    const handler = new ChatHandler(
        { admit: async () => ticket },
        new PipelineAnswerService(answers.dependencies),
        new SilentMetrics(),
        { bodyLimits: { maximumBytes: 1_000, timeoutMilliseconds: 100 }, maximumTimeoutMilliseconds: 60_000 },
    );
    const request = new PassThrough();
    request.end(
        JSON.stringify({ model: route.name, stream, messages: [{ role: "user", content: "Grade this load." }] }),
    );
    const handled = handler.handle({
        request: Object.assign(request, { headers: {} }) as unknown as IncomingMessage,
        response: Object.assign(new PassThrough(), { setHeader: () => undefined }) as unknown as ServerResponse,
        requestId: "request",
        configuration: {
            version: 1,
            models: new Map([[model.name, model]]),
            routes: new Map([[route.name, route]]),
        } as never,
        customer: { name: "haddow" } as never,
        startedAt: performance.now(),
        callerGone: connection.signal,
    });
    return { connection, releasedTokens, handled: handled.catch((error: unknown) => error) };
}

test.each([true, false])(
    "a chat (stream: %s) whose caller disconnects settles and releases its tokens",
    async stream => {
        const answers = new AnswerHarness();
        const { connection, releasedTokens, handled } = handleChat(answers, stream);
        await jest.advanceTimersByTimeAsync(10);
        answers.lastAttempt.token(0);
        connection.abort();
        await expect(handled).resolves.toMatchObject({ code: "caller-gone" });
        expect(releasedTokens).toHaveLength(1);
        expect(answers.lastAttempt.cancelled).toBe(true);
    },
);

test("a chat whose caller disconnects while it is admitted is not sent to a backend server", async () => {
    const answers = new AnswerHarness();
    const { connection, releasedTokens, handled } = handleChat(answers, true);
    connection.abort();
    await expect(handled).resolves.toMatchObject({ code: "caller-gone", outcome: "not-run" });
    expect(releasedTokens).toHaveLength(1);
    expect(answers.attempts).toEqual([]);
});
