import { afterAll, beforeAll, describe, expect, jest, test } from "@jest/globals";
import OpenAI, { type APIError, AuthenticationError, InternalServerError, NotFoundError, RateLimitError } from "openai";
import { expectedAnswer } from "../../src/stand-ins/backend-server/index.js";
import { runCommand } from "../cli/run-command.js";
import { customerApiKey, routeName, RouterFixture } from "./router-fixture.js";

const messages = [{ role: "user" as const, content: "Grade the load from truck 17." }];
const answerTokens = 20;
const completeAnswer = expectedAnswer(messages, answerTokens);

let fixture: RouterFixture;
let client: OpenAI;

function createClient(apiKey: string): OpenAI {
    return new OpenAI({ apiKey, baseURL: `${fixture.router.callersAddress}/v1`, maxRetries: 0 });
}

beforeAll(async () => {
    jest.useRealTimers();
    fixture = await RouterFixture.start();
    client = createClient(customerApiKey);
});
afterAll(() => fixture.stop());

describe("the OpenAI client library", () => {
    test("reads a complete answer", async () => {
        const completion = await client.chat.completions.create({
            model: routeName,
            messages,
            max_tokens: answerTokens,
        });
        expect(completion.choices[0]?.message.content).toBe(completeAnswer.text);
        expect(completion.usage?.completion_tokens).toBe(completeAnswer.tokens.length);
    });

    test("reads a streamed answer that was computed on three backend servers", async () => {
        const { data, response } = await client.chat.completions
            .create({ model: routeName, messages, max_tokens: answerTokens, stream: true })
            .withResponse();
        let text = "";
        for await (const chunk of data) {
            text += chunk.choices[0]?.delta.content ?? "";
        }
        expect(text).toBe(completeAnswer.text);
        expect(response.headers.get("x-request-id")).toMatch(/^[0-9a-f-]{36}$/);
    });

    test("lists the routes", async () => {
        const models = await client.models.list();
        expect(models.data.map(model => model.id)).toContain(routeName);
    });

    test("throws its own error classes for 401 and 404", async () => {
        await expect(createClient("wrong").models.list()).rejects.toBeInstanceOf(AuthenticationError);
        await expect(client.chat.completions.create({ model: "none", messages })).rejects.toBeInstanceOf(NotFoundError);
    });

    test("throws its own error class for 429, with Retry-After", async () => {
        // Lowers the limits of customer mandurah far below what its requests need.
        await fixture.pushChangedSheet(sheet => sheet.replace(/^(customer,mandurah,.*),1,1000,4000,/m, "$1,1,1,1,"));
        const limitedClient = createClient("demo-mandurah");
        const failure = await retryUntilRejected(() =>
            limitedClient.chat.completions.create({ model: routeName, messages, max_tokens: answerTokens })
        );
        expect(failure).toBeInstanceOf(RateLimitError);
        expect([failure.code, Number(failure.headers?.get("retry-after"))]).toEqual([
            "limit-exceeded",
            expect.any(Number),
        ]);
    });

    test("throws its own error class for 503", async () => {
        await fixture.pushChangedSheet(sheet => sheet.replace("grade-writer,2026-01,32", "grade-writer,2026-02,32"));
        const failure = await retryUntilRejected(() =>
            client.chat.completions.create({ model: routeName, messages, max_tokens: 2 })
        );
        expect(failure).toBeInstanceOf(InternalServerError);
        expect([failure.status, failure.code]).toEqual([503, "no-pipeline"]);
        await fixture.pushChangedSheet(sheet => sheet);
        await retryUntilAnswered(() => client.chat.completions.create({ model: routeName, messages, max_tokens: 2 }));
    });
});

describe("plain services", () => {
    async function book(key: string | undefined, body: string) {
        const headers: Record<string, string> = { authorization: `Bearer ${customerApiKey}` };
        if (key !== undefined) {
            headers["idempotency-key"] = key;
        }
        return fetch(`${fixture.router.callersAddress}/services/bookings/bookings`, { method: "POST", headers, body });
    }

    test("run a booking once when requests with the same idempotency key arrive concurrently", async () => {
        const responses = await Promise.all(Array.from({ length: 5 }, () => book("truck-17", `{"truck":17}`)));
        expect(responses.map(response => response.status)).toEqual([201, 201, 201, 201, 201]);
        const bodies = await Promise.all(responses.map(response => response.text()));
        expect(new Set(bodies).size).toBe(1);
        expect(fixture.fleet.services.get("bookings")!.record.runsOfKey("truck-17")).toBe(1);
    });

    test("refuse a reused idempotency key with another body as not-run", async () => {
        await book("truck-18", `{"truck":18}`);
        const refused = await book("truck-18", `{"truck":19}`);
        expect(await refused.json()).toMatchObject({ error: { code: "idempotency-key-reused", outcome: "not-run" } });
    });

    test("answer stock queries", async () => {
        const response = await fetch(`${fixture.router.callersAddress}/services/stock/stock/salt`, {
            headers: { authorization: `Bearer ${customerApiKey}` },
        });
        expect(await response.json()).toMatchObject({ item: "salt" });
    });
});

describe("operators", () => {
    test("see the status of the router and its backend servers, and the pipeline chosen for a route", async () => {
        const environment = { POMELOSTALL_OPERATOR: fixture.router.operatorsAddress };
        const status = await runCommand(["status"], environment);
        expect([status.exitCode, status.output]).toEqual([0, expect.stringContaining("kewdale-grade-writer-0")]);
        const explained = await runCommand(["explain", routeName, "--json"], environment);
        const { stages } = JSON.parse(explained.output) as { stages: unknown[]; };
        expect(stages).toHaveLength(3);
        expect((await runCommand(["explain", "none"], environment)).exitCode).toBe(1);
        expect((await runCommand(["status", "--router", "http://127.0.0.1:1"])).exitCode).toBe(3);
    });
});

test("no API key, request content or answer appears in a log line", async () => {
    await client.chat.completions.create({ model: routeName, messages, max_tokens: answerTokens });
    const text = fixture.logLines.join("");
    expect(text).toContain("decision pipeline-choice");
    for (const secret of [customerApiKey, messages[0]!.content, completeAnswer.tokens[0]!, `{"truck":17}`]) {
        expect(text).not.toContain(secret);
    }
});

async function retryUntilRejected(call: () => Promise<unknown>): Promise<APIError> {
    for (;;) {
        try {
            await call();
        }
        catch (error) {
            return error as APIError;
        }
    }
}

async function retryUntilAnswered(call: () => Promise<unknown>): Promise<void> {
    for (;;) {
        try {
            await call();
            return;
        }
        catch {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }
}
