import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { once } from "node:events";
import { connect } from "node:net";
import { AnswerFailedError, Outcome } from "../../../src/errors/index.js";
import { type AnswerScript, apiKey, CallerFixture, emitEnd, emitTokens } from "./caller-fixture.js";

const completeScript: AnswerScript = emitter => {
    emitTokens(emitter, ["Grade", " A"]);
    emitEnd(emitter, 2);
};

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

let fixture: CallerFixture;

async function startFixture(script: AnswerScript = completeScript): Promise<void> {
    fixture = new CallerFixture(script);
    await fixture.start();
}

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

async function readError(response: Response) {
    return (await response.json() as {
        error: { code: string; outcome: string; message: string; request_id: string; };
    }).error;
}

describe("chat completions", () => {
    test("are returned as one JSON response if streaming is not requested", async () => {
        await startFixture();
        const response = await fixture.chat(false);
        expect(await response.json()).toMatchObject({
            object: "chat.completion",
            choices: [{ message: { role: "assistant", content: "Grade A" }, finish_reason: "stop" }],
            usage: { prompt_tokens: 5, completion_tokens: 2, total_tokens: 7 },
        });
        expect(fixture.releasedTokens).toEqual([7]);
    });

    test("are streamed as server-sent events that end with [DONE]", async () => {
        await startFixture();
        const response = await fixture.chat(true, { stream_options: { include_usage: true } });
        const events = (await response.text()).trim().split("\n\n").map(line => line.slice("data: ".length));
        expect(events.at(-1)).toBe("[DONE]");
        const chunks = events.slice(0, -1).map(event =>
            JSON.parse(event) as { choices: { delta: { content?: string; }; }[]; }
        );
        expect(chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join("")).toBe("Grade A");
        expect(chunks.at(-1)).toMatchObject({ usage: { total_tokens: 7 } });
    });

    test("that fail after the first token end with an error event instead of [DONE]", async () => {
        await startFixture(emitter => {
            emitTokens(emitter, ["Grade"]);
            emitter.fail(new AnswerFailedError("Every stage failed.", Outcome.failed));
        });
        const text = await (await fixture.chat(true)).text();
        expect(text).toContain(`"code":"answer-failed"`);
        expect(text).not.toContain("[DONE]");
    });

    test("whose answer completes without an end event fail", async () => {
        await startFixture(emitter => emitter.complete());
        expect((await readError(await fixture.chat(false))).code).toBe("answer-failed");
    });

    test("pass on the caller's deadline and reject a malformed timeout header", async () => {
        await startFixture();
        const before = performance.now();
        await fixture.post(JSON.stringify({ model: "grade-report", messages: [{ role: "user", content: "x" }] }), {
            "x-request-timeout-ms": "5000",
        });
        expect(fixture.answers[0]!.request.deadline).toBeGreaterThanOrEqual(before + 5000);
        const refused = await fixture.post(
            JSON.stringify({ model: "grade-report", messages: [{ role: "user", content: "x" }] }),
            {
                "x-request-timeout-ms": "soon",
            },
        );
        expect(refused.status).toBe(400);
    });
});

describe("invalid requests", () => {
    const chatBody = { model: "grade-report", messages: [{ role: "user", content: "x" }] };
    test.each([
        ["malformed JSON", "{", 400, "bad-request"],
        ["no messages", JSON.stringify({ ...chatBody, messages: [] }), 400, "bad-request"],
        ["a number for a message", JSON.stringify({ ...chatBody, messages: [7] }), 400, "bad-request"],
        ["too many tokens", JSON.stringify({ ...chatBody, max_tokens: 65 }), 400, "bad-request"],
        ["two choices", JSON.stringify({ ...chatBody, n: 2 }), 400, "bad-request"],
        ["an unknown model", JSON.stringify({ ...chatBody, model: "none" }), 404, "not-found"],
        ["another customer's route", JSON.stringify({ ...chatBody, model: "private" }), 404, "not-found"],
        ["an oversize body", JSON.stringify({ ...chatBody, padding: "x".repeat(5000) }), 413, "body-too-large"],
    ])("%s is rejected as not-run", async (_name, body, status, code) => {
        await startFixture();
        const response = await fixture.post(body);
        const error = await readError(response);
        expect([response.status, error.code, error.outcome]).toEqual([status, code, "not-run"]);
        expect(error.request_id).toBe(response.headers.get("x-request-id"));
        expect(fixture.answers).toHaveLength(0);
    });

    test.each([["missing", {}], ["wrong", { authorization: "Bearer nobody" }], ["not bearer", {
        authorization: `Basic ${apiKey}`,
    }]])(
        "an API key that is %s is rejected",
        async (_name, headers) => {
            await startFixture();
            const response = await fetch(`${fixture.address}/v1/models`, { headers });
            expect([response.status, (await readError(response)).code]).toEqual([401, "unauthorized"]);
        },
    );

    test("an oversize body without a Content-Length header is rejected", async () => {
        await startFixture();
        const stream = new Blob([JSON.stringify({ ...chatBody, padding: "x".repeat(9000) })]).stream();
        const response = await fetch(`${fixture.address}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${apiKey}` },
            body: stream,
            duplex: "half",
        });
        expect(response.status).toBe(413);
    });

    test("a body that does not arrive in time is rejected with 408", async () => {
        await startFixture();
        const socket = connect(fixture.port, "127.0.0.1");
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${apiKey}\r\nContent-Length: 50\r\n\r\n{`,
        );
        const [data] = await once(socket, "data") as [Buffer];
        socket.destroy();
        expect(data.toString()).toMatch(/^HTTP\/1\.1 408 [^]*"code":"request-timeout"/);
    });

    test("a path with invalid percent-encoding is rejected", async () => {
        await startFixture();
        const response = await fetch(`${fixture.address}/services/%E0%A4%A/x`, {
            headers: { authorization: `Bearer ${apiKey}` },
        });
        expect(response.status).toBe(400);
    });
});

describe("callers", () => {
    test("that disconnect have their answers cancelled", async () => {
        await startFixture(emitter => emitTokens(emitter, ["Grade"]));
        const controller = new AbortController();
        const response = await fetch(`${fixture.address}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${apiKey}` },
            body: JSON.stringify({ model: "grade-report", stream: true, messages: [{ role: "user", content: "x" }] }),
            signal: controller.signal,
        });
        expect(response.status).toBe(200);
        controller.abort();
        await waitUntil(() => fixture.answers[0]!.cancelled && fixture.drain.requestsInFlight === 0);
        expect(fixture.releasedTokens).toHaveLength(1);
    });

    test("that read slowly pause the answer, which resumes when they read again", async () => {
        const text = "x".repeat(65_536);
        await startFixture((emitter, answer) => {
            const send = () => {
                if (answer.pauses > 0) {
                    return;
                }
                emitter.next({ type: "token", position: 0, text });
                setImmediate(send);
            };
            send();
        });
        const socket = connect(fixture.port, "127.0.0.1");
        const body = JSON.stringify({
            model: "grade-report",
            stream: true,
            messages: [{ role: "user", content: "x" }],
        });
        socket.pause();
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${apiKey}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        );
        await waitUntil(() => (fixture.answers[0]?.pauses ?? 0) > 0);
        socket.resume();
        await waitUntil(() => fixture.answers[0]!.resumes > 0);
        socket.destroy();
        await waitUntil(() => fixture.answers[0]!.cancelled);
    });

    test("get a list of only the routes that they may use", async () => {
        await startFixture();
        const response = await fetch(`${fixture.address}/v1/models`, {
            headers: { authorization: `Bearer ${apiKey}` },
        });
        expect(await response.json()).toMatchObject({
            object: "list",
            data: [{ id: "grade-report", object: "model" }],
        });
    });

    test("get the error router-draining as not-run while the router drains, which is live but not ready", async () => {
        await startFixture();
        await fixture.drain.drain();
        const response = await fixture.chat(false);
        expect([response.status, (await readError(response)).outcome]).toEqual([503, "not-run"]);
        expect((await fetch(`${fixture.address}/health/ready`)).status).toBe(503);
        expect((await fetch(`${fixture.address}/health/live`)).status).toBe(200);
    });
});
