import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { Agent, request } from "undici";
import { ServiceFault, StandInService } from "../../../src/stand-ins/service/index.js";

let service = new StandInService();
let agent = new Agent();

beforeEach(async () => {
    jest.useRealTimers();
    service = new StandInService();
    agent = new Agent();
    await service.start();
});

afterEach(async () => {
    await agent.destroy();
    service.stop();
});

function book(key: string, timeoutMilliseconds = 2_000) {
    return request(`${service.address}/bookings`, {
        method: "POST",
        headers: { "idempotency-key": key, "x-request-id": `request-${key}` },
        body: `{"truck":"${key}"}`,
        headersTimeout: timeoutMilliseconds,
        dispatcher: agent,
    });
}

describe("a stand-in service", () => {
    test("runs each booking request and records it by idempotency key and request ID", async () => {
        await book("k1");
        const second = await book("k1");
        expect(await second.body.json()).toEqual({ bookingNumber: 2 });
        expect(service.record.runsOfKey("k1")).toBe(2);
        expect(service.record.runsOfRequest("request-k1")).toBe(2);
        const lookup = await request(`${service.address}/stock/salt`, { dispatcher: agent });
        expect(await lookup.body.json()).toEqual({ item: "salt", tonnes: 40 });
    });

    test.each([
        [ServiceFault.breakBefore, 0],
        [ServiceFault.breakAfter, 1],
        [ServiceFault.hangBefore, 0],
        [ServiceFault.hangAfter, 1],
    ])("with the fault %s, a booking gets no response and runs %i times", async (fault, runs) => {
        service.faults = () => fault;
        await expect(book("k1", 300)).rejects.toThrow();
        expect(service.record.runsOfKey("k1")).toBe(runs);
    });

    test("a booking refused with status 503 does not run", async () => {
        service.faults = () => ServiceFault.unavailable;
        expect((await book("k1")).statusCode).toBe(503);
        expect(service.record.runs).toEqual([]);
    });
});
