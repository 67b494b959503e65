import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { once } from "node:events";
import { connect } from "node:net";
import { AnswerFailedError, Outcome } from "../../../src/errors/index.js";
import { type AnswerScript, CallerFixture, emitEnd, emitWords, key } from "./caller-fixture.js";

const completeScript: AnswerScript = emitter => {
    emitWords(emitter, ["Grade", " A"]);
    emitEnd(emitter, 2);
};

async function until(condition: () => boolean): Promise<void> {
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

async function errorOf(response: Response) {
    return (await response.json() as {
        error: { code: string; outcome: string; message: string; request_id: string; };
    }).error;
}

describe("chat completions", () => {
    test("are given whole", async () => {
        await startFixture();
        const response = await fixture.chat(false);
        expect(await response.json()).toMatchObject({
            object: "chat.completion",
            choices: [{ message: { role: "assistant", content: "Grade A" }, finish_reason: "stop" }],
            usage: { prompt_tokens: 5, completion_tokens: 2, total_tokens: 7 },
        });
        expect(fixture.releasedTokens).toEqual([7]);
    });

    test("are streamed as events that end with [DONE]", async () => {
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

    test("that fail midway end with an error event and not with [DONE]", async () => {
        await startFixture(emitter => {
            emitWords(emitter, ["Grade"]);
            emitter.fail(new AnswerFailedError("Every stage failed.", Outcome.failed));
        });
        const text = await (await fixture.chat(true)).text();
        expect(text).toContain(`"code":"answer-failed"`);
        expect(text).not.toContain("[DONE]");
    });

    test("that stop without an end are failures too", async () => {
        await startFixture(emitter => emitter.complete());
        expect((await errorOf(await fixture.chat(false))).code).toBe("answer-failed");
    });

    test("pass the caller's deadline on and refuse a malformed one", async () => {
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

describe("bad input", () => {
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
    ])("%s is refused as not-run", async (_name, body, status, code) => {
        await startFixture();
        const response = await fixture.post(body);
        const error = await errorOf(response);
        expect([response.status, error.code, error.outcome]).toEqual([status, code, "not-run"]);
        expect(error.request_id).toBe(response.headers.get("x-request-id"));
        expect(fixture.answers).toHaveLength(0);
    });

    test.each([["missing", {}], ["wrong", { authorization: "Bearer nobody" }], ["not bearer", {
        authorization: `Basic ${key}`,
    }]])(
        "a key that is %s is refused",
        async (_name, headers) => {
            await startFixture();
            const response = await fetch(`${fixture.address}/v1/models`, { headers });
            expect([response.status, (await errorOf(response)).code]).toEqual([401, "unauthorized"]);
        },
    );

    test("an oversize body without a length is refused", async () => {
        await startFixture();
        const stream = new Blob([JSON.stringify({ ...chatBody, padding: "x".repeat(9000) })]).stream();
        const response = await fetch(`${fixture.address}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}` },
            body: stream,
            duplex: "half",
        });
        expect(response.status).toBe(413);
    });

    test("a body that never comes is given up", async () => {
        await startFixture();
        const socket = connect(fixture.port, "127.0.0.1");
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${key}\r\nContent-Length: 50\r\n\r\n{`,
        );
        const [data] = await once(socket, "data") as [Buffer];
        socket.destroy();
        expect(data.toString()).toMatch(/^HTTP\/1\.1 408 [^]*"code":"request-timeout"/);
    });

    test("a path with broken percent-encoding is refused", async () => {
        await startFixture();
        const response = await fetch(`${fixture.address}/services/%E0%A4%A/x`, {
            headers: { authorization: `Bearer ${key}` },
        });
        expect(response.status).toBe(400);
    });
});

describe("callers", () => {
    test("that go away have their work cancelled", async () => {
        await startFixture(emitter => emitWords(emitter, ["Grade"]));
        const controller = new AbortController();
        const response = await fetch(`${fixture.address}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}` },
            body: JSON.stringify({ model: "grade-report", stream: true, messages: [{ role: "user", content: "x" }] }),
            signal: controller.signal,
        });
        expect(response.status).toBe(200);
        controller.abort();
        await until(() => fixture.answers[0]!.cancelled && fixture.drain.requestsInFlight === 0);
        expect(fixture.releasedTokens).toHaveLength(1);
    });

    test("that read slowly make the engine pause, and resume when they read on", async () => {
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
            `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${key}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        );
        await until(() => (fixture.answers[0]?.pauses ?? 0) > 0);
        socket.resume();
        await until(() => fixture.answers[0]!.resumes > 0);
        socket.destroy();
        await until(() => fixture.answers[0]!.cancelled);
    });

    test("are listed the routes that they may use", async () => {
        await startFixture();
        const response = await fetch(`${fixture.address}/v1/models`, { headers: { authorization: `Bearer ${key}` } });
        expect(await response.json()).toMatchObject({
            object: "list",
            data: [{ id: "grade-report", object: "model" }],
        });
    });

    test("get router-draining as not-run while the router drains, and health says so", async () => {
        await startFixture();
        await fixture.drain.drain();
        const response = await fixture.chat(false);
        expect([response.status, (await errorOf(response)).outcome]).toEqual([503, "not-run"]);
        expect((await fetch(`${fixture.address}/health/ready`)).status).toBe(503);
        expect((await fetch(`${fixture.address}/health/live`)).status).toBe(200);
    });
});
