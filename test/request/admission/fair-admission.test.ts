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
let corrected: number[];
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
const settle = (milliseconds = 0) => jest.advanceTimersByTimeAsync(milliseconds);

beforeEach(() => {
    corrected = [];
    allowed = true;
    admission = new FairAdmission({
        limits: {
            tryTake: () => ({ allowed, retryAfterSeconds: 7 }),
            correct: (_customer, tokens) => corrected.push(tokens),
        },
        tokenLimit: new AdaptiveTokenLimit(1_000, new SilentMetrics()),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
});

describe("FairAdmission", () => {
    test("queues beyond the limit on work under way and serves another customer's storm in turn", async () => {
        const running = await admit("big", 1_000);
        const order: string[] = [];
        const tickets: AdmissionTicket[] = [];
        const wait = (name: string) =>
            void admit(name, 500).then(ticket => {
                order.push(name);
                tickets.push(ticket);
            });
        ["big", "big", "big", "small"].forEach(wait);
        await settle(10);
        expect(order).toEqual([]);
        running.release(1_000);
        running.release(1_000);
        await settle();
        expect([...order].sort()).toEqual(["big", "small"]);
        tickets.forEach(ticket => ticket.release(500));
        await settle();
        expect(order).toHaveLength(4);
        expect(tickets[0]!.queuedMilliseconds).toBeCloseTo(10, 0);
    });

    test("corrects the estimate by what was used, and learns from it", async () => {
        const ticket = await admit("a", 400);
        ticket.release(100);
        expect(corrected).toEqual([-300]);
        for (let index = 0; index < 100; index++) {
            (await admit("a", 400)).release(100);
        }
        await Promise.all(Array.from({ length: 9 }, () => admit("a", 400)));
        expect(admission.queuedRequests).toBe(0);
    });

    test("refuses at once what the customer's limit does not allow", async () => {
        allowed = false;
        await expect(admit("a", 10)).rejects.toMatchObject({
            code: "limit-exceeded",
            outcome: "not-run",
            retryAfterSeconds: 7,
        });
    });

    test("refuses what waited too long or whose deadline passed, and gives the tokens back", async () => {
        await admit("a", 1_000);
        const late = expect(admit("a", 500, { deadline: performance.now() + 300 })).rejects
            .toMatchObject({ code: "deadline-unreachable", outcome: "not-run" });
        await settle(301);
        await late;
        expect(corrected).toEqual([-500]);
        const waited = expect(admit("a", 500)).rejects.toMatchObject({ code: "deadline-unreachable" });
        await settle(1_300);
        await waited;
        expect(admission.queuedRequests).toBe(0);
    });

    test("refuses early, with a time to come back, once the queue is longer than the target", async () => {
        for (let second = 0; second < 40; second++) {
            const ticket = await admit("a", 100);
            await settle(100);
            ticket.release(100);
        }
        await admit("a", 1_000);
        const waiting = Array.from({ length: 3 }, () => admit("a", 1_000).catch(() => undefined));
        await expect(admit("a", 1_000)).rejects.toMatchObject({ code: "deadline-unreachable", retryAfterSeconds: 1 });
        await settle(2_000);
        await Promise.all(waiting);
    });

    test("forgets a caller that goes away while it waits", async () => {
        await admit("a", 1_000);
        const controller = new AbortController();
        const gone = expect(admit("a", 500, { signal: controller.signal })).rejects
            .toMatchObject({ code: "caller-gone", outcome: "not-run" });
        controller.abort();
        await gone;
        expect(admission.queuedRequests).toBe(0);
        await expect(admit("a", 1, { signal: controller.signal })).rejects.toMatchObject({ code: "caller-gone" });
    });
});
