/** Statuses that promise a caller that its request has not run: sent only with what proves it. */
import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { connect } from "node:net";
import { impliesNotRun } from "../../src/request/gateway/not-run-statuses.js";
import { ConnectionEnd } from "../support/raw-responses.js";
import { configuration, GatewayFixture, type GatewayResponse } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const paths = ["/book/1", "/look/1", "/report-text/1", "/report-once/1"];

/** Two servers of the plain service, and two paths of engines; streams of one route may not be resumed. */
async function start(): Promise<void> {
    const engines = ["1", "2"].flatMap(suffix =>
        [0, 10].map(from => {
            const engine = new StandInBackendServer(`engine-${from}-${suffix}`, "pool");
            engine.layers = { from, target: from + 10 };
            return engine;
        })
    );
    const apps = ["1", "2"].map(suffix => new StandInBackendServer(`app-${suffix}`, "app"));
    fixture = await GatewayFixture.start([...apps, ...engines]);
    const routes = configuration(1)["routes"] as Record<string, unknown>[];
    const once = { ...routes[2]!, name: "once", path_prefix: "/report-once/", stream_resume: false };
    fixture.publish(1, { routes: [...routes, once] });
    await fixture.waitUntil(async () =>
        await fixture.isReady() && (await fixture.send("GET", "/look/1")).status === 200
    );
    fixture.servers.forEach(({ received }) => received.splice(0));
}

const send = (path: string) => fixture.send("POST", path, { "X-Token-Counts": "700,150" }, "docket");
const runs = () => fixture.servers.flatMap(({ received }) => received).length;

/** The responses of the first requests, as status lines and header lines; later requests are answered as usual. */
function setResponses(...heads: string[]): void {
    const remaining = [...heads];
    fixture.servers.forEach(server => {
        server.createRawResponse = (_request, proof) => {
            const head = remaining.shift();
            return head === undefined
                ? undefined
                : { bytes: `HTTP/1.1 ${head}\r\n${proof}Content-Length: 4\r\n\r\nfull`, end: ConnectionEnd.closed };
        };
    });
}

function expectOwnError(response: GatewayResponse, status: number): void {
    expect(response).toMatchObject({ status, complete: true, headers: { "content-type": "application/json" } });
    expect(response.headers["x-replica-seal"]).toBeUndefined();
}

// review/4: a booking that a server had run and failed with 503 was answered 503, and the client booked again.
describe.each(["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"])("a server's %s", head => {
    test("for a request that has run reaches the caller as 502", async () => {
        await start();
        for (const path of paths) {
            const before = runs();
            setResponses(head, head, head);
            expectOwnError(await send(path), 502);
            expect(runs() - before).toBe(path === "/book/1" || path === "/report-once/1" ? 1 : 2);
        }
    });

    test("for a request that another server has run reaches the caller as 502", async () => {
        await start();
        for (const path of paths) {
            setResponses(`${head}\r\nX-Not-Executed: 1`, head, head, head);
            expectOwnError(await send(path), 502);
        }
    });

    test("with proof that a request has not run is retried, and then passed on as 503", async () => {
        await start();
        for (const path of paths) {
            const before = runs();
            setResponses(...Array<string>(20).fill(`${head}\r\nX-Not-Executed: 1`));
            const response = await send(path);
            expectOwnError(response, 503);
            expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
            expect(runs() - before).toBeGreaterThan(1);
        }
    });
});

test("a complete 500 is passed on in place of a later 503 that proves nothing", async () => {
    await start();
    setResponses("500 Internal Server Error", "503 Service Unavailable");
    expect(await send("/look/1")).toMatchObject({ status: 500, body: "full" });
});

test("a success that reports that it has not run is no answer, and a booking is not sent again after it", async () => {
    await start();
    setResponses("200 OK\r\nX-Not-Executed: 1");
    expectOwnError(await send("/book/1"), 502);
    expect(runs()).toBe(1);
});

// The runtime refuses a request whose head comes too slowly, and took the one before it on the connection for this one.
test.each([
    ["stops in the middle of its head", "POST /book/2 HTTP/1.1\r\nHost: yard"],
    ["is no request", "\u0001\u0002 no request\r\n\r\n"],
])("a running booking gets its own answer when the next request on its connection %s", async (_case, next) => {
    await start();
    fixture.publish(2, { limits: { ...(configuration(1)["limits"] as object), header_timeout_ms: 300 } });
    fixture.servers.forEach(server => {
        server.answerMilliseconds = 2_500;
    });
    const headers = "Host: yard.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: a-1\r\nX-Deadline-Ms: 4000\r\n";
    fixture.publish(3, {
        limits: { ...(configuration(1)["limits"] as object), header_timeout_ms: 300 },
        routes: (configuration(1)["routes"] as object[]).map(route => ({ ...route, timeout_ms: 5_000 })),
    });
    await new Promise(resolve => setTimeout(resolve, 600));
    const text = await new Promise<string>((resolve, reject) => {
        const chunks: Buffer[] = [];
        const socket = connect(fixture.callerPort, "127.0.0.1", () => {
            socket.write(`POST /book/1 HTTP/1.1\r\n${headers}Content-Length: 0\r\n\r\n`);
            setTimeout(() => socket.write(next), 100);
        });
        socket.on("data", (chunk: Buffer) => chunks.push(chunk));
        socket.on("error", reject);
        socket.on("close", () => resolve(Buffer.concat(chunks).toString()));
    });
    expect(text).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*answer of app-\d$/);
});

test("the statuses that promise that a request has not run are those of the users' pages", () => {
    const statuses = Array.from({ length: 400 }, (_value, index) => 200 + index);
    expect(statuses.filter(impliesNotRun)).toEqual([408, 421, 429, 503]);
});
