import { beforeEach, describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import type { Customer } from "../../../src/domain/configuration.js";
import { AdaptiveTokenLimit } from "../../../src/request/admission/adaptive-token-limit.js";
import { FairAdmission } from "../../../src/request/admission/fair-admission.js";
import type { AdmissionTicket } from "../../../src/request/admission/types.js";
import { route } from "../answer/fakes.js";

const customer = (name: string): Customer => ({
    name,
    keyHashes: [],
    weight: 1,
    tokensPerSecond: 1e9,
    burstTokens: 1e9,
});

let admission: FairAdmission;
let corrections: number[];
let allowed: boolean;
const admit = (name: string, tokens: number, changes: { deadline?: number; signal?: AbortSignal; } = {}) =>
    admission.admit({
        requestId: "request",
        customer: customer(name),
        route,
        tokens,
        deadline: performance.now() + 60_000,
        ...changes,
    });
const advanceTime = (milliseconds = 0) => jest.advanceTimersByTimeAsync(milliseconds);

beforeEach(() => {
    corrections = [];
    allowed = true;
    admission = new FairAdmission({
        limits: {
            tryTake: () => ({ allowed, retryAfterSeconds: 7 }),
            correct: (_customer, tokens) => corrections.push(tokens),
        },
        tokenLimit: new AdaptiveTokenLimit(1_000, new SilentMetrics()),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
});

describe("FairAdmission", () => {
    test("queues requests beyond the token limit and admits another customer ahead of the rest of a burst", async () => {
        const running = await admit("big", 1_000);
        const order: string[] = [];
        const tickets: AdmissionTicket[] = [];
        const enqueue = (name: string) =>
            void admit(name, 500).then(ticket => {
                order.push(name);
                tickets.push(ticket);
            });
        ["big", "big", "big", "small"].forEach(enqueue);
        await advanceTime(10);
        expect(order).toEqual([]);
        running.release(1_000);
        running.release(1_000);
        await advanceTime();
        expect([...order].sort()).toEqual(["big", "small"]);
        tickets.forEach(ticket => ticket.release(500));
        await advanceTime();
        expect(order).toHaveLength(4);
        expect(tickets[0]!.queuedMilliseconds).toBeCloseTo(10, 0);
    });

    test("corrects the estimate by the tokens used, and learns from it", async () => {
        const ticket = await admit("a", 400);
        ticket.release(100);
        expect(corrections).toEqual([-300]);
        for (let index = 0; index < 100; index++) {
            (await admit("a", 400)).release(100);
        }
        await Promise.all(Array.from({ length: 9 }, () => admit("a", 400)));
        expect(admission.queuedRequests).toBe(0);
    });

    test("rejects a request over the customer's limit immediately", async () => {
        allowed = false;
        await expect(admit("a", 10)).rejects.toMatchObject({
            code: "limit-exceeded",
            outcome: "not-run",
            retryAfterSeconds: 7,
        });
    });

    test("rejects requests that waited too long or missed their deadline, and refunds their tokens", async () => {
        await admit("a", 1_000);
        const missedDeadline = expect(admit("a", 500, { deadline: performance.now() + 300 })).rejects
            .toMatchObject({ code: "deadline-unreachable", outcome: "not-run" });
        await advanceTime(301);
        await missedDeadline;
        expect(corrections).toEqual([-500]);
        const waitedTooLong = expect(admit("a", 500)).rejects.toMatchObject({ code: "deadline-unreachable" });
        await advanceTime(1_300);
        await waitedTooLong;
        expect(admission.queuedRequests).toBe(0);
    });

    test("rejects early, with a retry-after time, once the expected wait exceeds the queue target", async () => {
        for (let second = 0; second < 40; second++) {
            const ticket = await admit("a", 100);
            await advanceTime(100);
            ticket.release(100);
        }
        await admit("a", 1_000);
        const waiting = Array.from({ length: 3 }, () => admit("a", 1_000).catch(() => undefined));
        await expect(admit("a", 1_000)).rejects.toMatchObject({ code: "deadline-unreachable", retryAfterSeconds: 1 });
        await advanceTime(2_000);
        await Promise.all(waiting);
    });

    test("removes a queued request when its caller disconnects", async () => {
        await admit("a", 1_000);
        const controller = new AbortController();
        const rejection = expect(admit("a", 500, { signal: controller.signal })).rejects
            .toMatchObject({ code: "caller-gone", outcome: "not-run" });
        controller.abort();
        await rejection;
        expect(admission.queuedRequests).toBe(0);
        await expect(admit("a", 1, { signal: controller.signal })).rejects.toMatchObject({ code: "caller-gone" });
    });
});
