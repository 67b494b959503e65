import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { createServer, type IncomingHttpHeaders, type Server } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { text } from "node:stream/consumers";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { PomelostallError } from "../../../src/errors/index.js";
import { TokenBucketRetryBudgets } from "../../../src/process/retry-budgets/token-bucket-retry-budgets.js";
import { ServiceCaller } from "../../../src/request/service/service-caller.js";
import type { ServiceCall, ServiceInstance } from "../../../src/request/service/types.js";
import { ServiceFault, StandInService } from "../../../src/stand-ins/service/service.js";

const ownLocation = { region: "r", availabilityZone: "z1" };
let services: StandInService[];
let instances: ServiceInstance[];
let caller: ServiceCaller;
let failedAttempts: number;

beforeEach(async () => {
    jest.useRealTimers();
    failedAttempts = 0;
    services = [new StandInService(), new StandInService()];
    await Promise.all(services.map(service => service.start()));
    instances = services.map((service, index) => ({
        id: `vm-${index}`,
        address: service.address,
        location: { region: "r", availabilityZone: `z${index + 1}` },
    }));
    caller = new ServiceCaller({
        instances: { instancesOf: () => instances },
        ownLocation: ownLocation,
        topology: () => ({
            link: (from, to) => ({
                latencyMilliseconds: from.availabilityZone === to.availabilityZone ? 0.1 : 3,
                bytesPerSecond: 1e9,
            }),
        }),
        health: {
            ejected: () => new Set(),
            recordSuccess: () => {},
            recordFailure: () => failedAttempts++,
            recordDraining: () => {},
        },
        retryBudgets: new TokenBucketRetryBudgets(),
        random: new SeededRandom(1),
        logger: new SilentLogger(),
        metrics: new SilentMetrics(),
    });
});

afterEach(async () => {
    await caller.close();
    services.forEach(service => service.stop());
});

function createCall(changes: Partial<ServiceCall> = {}): ServiceCall {
    return {
        requestId: "request-1",
        customer: "haddow",
        service: {
            name: "dispatch",
            idempotentMethods: ["GET"],
            defaultTimeoutMilliseconds: 1_000,
            retryShare: 0.1,
            customers: [],
        },
        configurationVersion: 1,
        method: "POST",
        path: "/bookings",
        headers: {},
        body: Buffer.from("{}"),
        deadline: performance.now() + 5_000,
        ...changes,
    };
}

const createStockCall = (changes: Partial<ServiceCall> = {}) =>
    createCall({ method: "GET", path: "/stock/salt", body: undefined, ...changes });

/** Returns the status of the response, or the outcome of the error if the call failed. */
async function outcomeOf(call: ServiceCall): Promise<string | undefined> {
    try {
        const response = await caller.call(call);
        await text(response.body);
        return String(response.status);
    }
    catch (error) {
        return (error as PomelostallError).outcome;
    }
}

const totalRuns = () => services.reduce((total, service) => total + service.record.runs.length, 0);

describe("ServiceCaller", () => {
    test("prefers the VM in its own availability zone, and uses other zones under load", async () => {
        expect(await outcomeOf(createCall())).toBe("201");
        expect(services[0]!.record.runs).toHaveLength(1);
        await Promise.all(Array.from({ length: 10 }, () => outcomeOf(createCall())));
        expect(services[1]!.record.runs.length).toBeGreaterThan(0);
    });

    test("tries the next VM when a connection is refused, and reports not-run when every VM refuses", async () => {
        services[0]!.refuse();
        expect(await outcomeOf(createCall())).toBe("201");
        services[1]!.refuse();
        expect(await outcomeOf(createCall())).toBe("not-run");
        expect(totalRuns()).toBe(1);
    });

    test.each([
        [ServiceFault.breakBefore, 0],
        [ServiceFault.breakAfter, 1],
        [ServiceFault.hangBefore, 0],
        [ServiceFault.hangAfter, 1],
    ])("never repeats a booking after %s, and reports it as unknown", async (fault, expectedRuns) => {
        services.forEach(service => service.faults = () => fault);
        expect(await outcomeOf(createCall({ deadline: performance.now() + 150 }))).toBe("unknown");
        expect(totalRuns()).toBe(expectedRuns);
        expect(services[1]!.callCount).toBe(0);
    });

    test("forwards a 503 response of the service to a booking without a retry", async () => {
        services[0]!.faults = () => ServiceFault.unavailable;
        expect(await outcomeOf(createCall())).toBe("503");
        expect(totalRuns()).toBe(0);
    });

    test("retries idempotent calls on another VM, also when a keep-alive connection stops responding", async () => {
        expect(await outcomeOf(createStockCall())).toBe("200");
        services[0]!.freezeConnections();
        expect(await outcomeOf(createStockCall({ deadline: performance.now() + 400 }))).toBe("200");
        services[0]!.refuse();
        expect(await outcomeOf(createStockCall())).toBe("200");
    });

    test("stops retrying when the retry budget is exhausted", async () => {
        services.forEach(service => service.refuse());
        const outcomes = await Promise.all(Array.from({ length: 20 }, () => outcomeOf(createStockCall())));
        expect(new Set(outcomes)).toEqual(new Set(["not-run"]));
        // 20 first attempts, a reserve of 10 retries, and 2 more retries that 20 calls earn at a retry share of 0.1.
        expect(failedAttempts).toBeLessThanOrEqual(20 + 10 + 2);
    });

    test("cancels the call when the caller disconnects", async () => {
        services[0]!.faults = () => ServiceFault.hangAfter;
        const controller = new AbortController();
        const outcome = outcomeOf(createCall({ signal: controller.signal }));
        while (totalRuns() === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        controller.abort();
        expect(await outcome).toBe("unknown");
        expect(await outcomeOf(createCall({ signal: controller.signal }))).toBe("not-run");
    });

    test("removes hop-by-hop headers and the customer's API key, and forwards the remaining time", async () => {
        const receivedHeaders: IncomingHttpHeaders[] = [];
        const server: Server = createServer((incoming, response) => {
            receivedHeaders.push(incoming.headers);
            response.writeHead(200, { "Keep-Alive": "timeout=5", "X-Kept": "yes" }).end("done");
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        instances = [{ id: "plain", address: `http://127.0.0.1:${port}`, location: ownLocation }];
        const response = await caller.call(createCall({
            headers: {
                "authorization": "Bearer secret",
                "connection": "close, x-private",
                "x-private": "1",
                "x-public": "2",
                "x-customer": "someone-else",
                "idempotency-key": "k",
            },
        }));
        expect(await text(response.body)).toBe("done");
        expect(receivedHeaders[0]).toMatchObject({ "x-public": "2", "idempotency-key": "k", "x-customer": "haddow" });
        expect(receivedHeaders[0]).not.toHaveProperty("authorization");
        expect(receivedHeaders[0]).not.toHaveProperty("x-private");
        expect(Number(receivedHeaders[0]!["x-request-timeout-ms"])).toBeLessThanOrEqual(5_000);
        expect(response.headers).toHaveProperty("x-kept", "yes");
        expect(response.headers).not.toHaveProperty("keep-alive");
        server.closeAllConnections();
        server.close();
    });

    // Such a status was passed on to the caller, or ended its request with an unexpected failure.
    test.each(["000", "099", "600", "999"])("status %s is no response of a service", async status => {
        const server = createTcpServer(socket =>
            socket.on("error", () => undefined).once(
                "data",
                () => socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 3\r\n\r\nodd`),
            )
        );
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        instances = [{ id: "odd", address: `http://127.0.0.1:${port}`, location: ownLocation }];
        const outcomes = [await outcomeOf(createCall()), await outcomeOf(createStockCall())];
        server.close();
        expect(outcomes).toEqual(["unknown", "failed"]);
    });
});
