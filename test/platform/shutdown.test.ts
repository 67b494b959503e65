/** Requests late in the shutdown grace period of a gateway, which is 1.6 s here; new ones are taken for 0.8 s of it. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { connect, type Socket } from "node:net";
import { GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
const receivedTotal = () => fixture.servers.reduce((sum, { received }) => sum + received.length, 0);

async function startWithApps(count: number, shutdownGraceSeconds = 2): Promise<StandInBackendServer[]> {
    const apps = Array.from({ length: count }, (_value, index) => new StandInBackendServer(`app-${index}`, "app"));
    fixture = await GatewayFixture.start(apps, 1, { shutdownGraceSeconds });
    await fixture.waitUntil(async () => (await fixture.send("GET", "/nowhere/")).status === 404);
    return apps;
}

/** Text of a request; the connection is kept alive. */
const requestText = (method: string, path: string, id: string, body: string, bodyBytes = body.length) =>
    [
        `${method} ${path} HTTP/1.1`,
        "Host: yard.example",
        "Authorization: Bearer key-1",
        `X-Attempt-Id: ${id}`,
        "X-Deadline-Ms: 5000",
        `Content-Length: ${bodyBytes}`,
        "",
        body,
    ].join("\r\n");

/** Opens a connection to the gateway; `text` resolves to all that was received, once the connection has ended. */
async function open(): Promise<{ socket: Socket; text: Promise<string>; }> {
    const socket = connect({ port: fixture.callerPort, host: "127.0.0.1", allowHalfOpen: true });
    await new Promise(resolve => socket.once("connect", resolve));
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    socket.on("error", () => undefined);
    socket.on("end", () => setTimeout(() => socket.end(), 100));
    return {
        socket,
        text: new Promise(resolve => socket.on("close", () => resolve(Buffer.concat(chunks).toString()))),
    };
}

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

test("a request whose upload ends late in the grace period is refused and not passed on", async () => {
    await startWithApps(1);
    const stopped = fixture.stopGateway();
    const { socket, text } = await open();
    await pause(700);
    socket.write(requestText("POST", "/book/1", "slow", "bo", 4));
    await pause(300);
    socket.write("dy");
    const response = await text;
    expect(response).toMatch(/^HTTP\/1\.1 503 /);
    expect(response).toMatch(/^retry-after: 0\b/im);
    expect(response).toMatch(/^connection: close/im);
    expect(receivedTotal()).toBe(0);
    await stopped;
});

test("a request that arrives late is refused before its body is read, and taken if it must end in time", async () => {
    await startWithApps(1);
    const stopped = fixture.stopGateway();
    const late = await open();
    const short = await open();
    // A started head keeps the connections from being closed as idle.
    late.socket.write("POST ");
    short.socket.write("POST ");
    await pause(700);
    // A request in progress keeps the gateway from stopping early.
    const upload = await open();
    upload.socket.write(requestText("POST", "/book/1", "upload", "bo", 4));
    await pause(300);
    late.socket.write(requestText("POST", "/book/1", "late", "bo", 4).slice("POST ".length));
    short.socket.write(
        requestText("POST", "/book/1", "short", "body").slice("POST ".length).replace("Ms: 5000", "Ms: 200"),
    );
    expect(await late.text).toMatch(/^HTTP\/1\.1 503 /);
    expect(await short.text).toMatch(/^HTTP\/1\.1 200 /);
    expect(receivedTotal()).toBe(1);
    upload.socket.destroy();
    await stopped;
});

async function startWithEngines(eventMilliseconds: number): Promise<StandInBackendServer[]> {
    const engines = [0, 10].map(from => {
        const engine = new StandInBackendServer(`engine-${from}`, "pool");
        engine.layers = { from, target: from + 10 };
        engine.eventMilliseconds = eventMilliseconds;
        return engine;
    });
    fixture = await GatewayFixture.start(engines, 1);
    await fixture.waitUntil(() => fixture.isReady());
    return engines;
}

test("a stream that waits for a path when the late grace period begins is refused and not started", async () => {
    const engines = await startWithEngines(200);
    engines.forEach(engine => {
        engine.behavior = "refuse";
    });
    const stopped = fixture.stopGateway();
    await pause(650);
    const response = fixture.send("POST", "/report-text/1", { "X-Deadline-Ms": "5000" }, "prompt");
    await pause(200);
    engines.forEach(engine => {
        engine.behavior = "answer";
    });
    const refusals = receivedTotal();
    expect(await response).toMatchObject({ status: 503, complete: true });
    expect(receivedTotal()).toBe(refusals);
    await stopped;
});

test("a request that fails late in the grace period is not retried", async () => {
    const apps = await startWithApps(2);
    apps.forEach(app => {
        app.behavior = "fail";
        app.answerMilliseconds = 300;
    });
    const stopped = fixture.stopGateway();
    await pause(700);
    expect(await fixture.send("GET", "/look/1")).toMatchObject({ status: 500, complete: true });
    expect(receivedTotal()).toBe(1);
    await stopped;
});

test("a request without an answer at the end of the grace period gets a complete 504", async () => {
    const [app] = await startWithApps(1);
    app!.behavior = "mute";
    const stopped = fixture.stopGateway();
    await pause(700);
    expect(await fixture.send("POST", "/book/1", {}, "body")).toMatchObject({ status: 504, complete: true });
    expect(receivedTotal()).toBe(1);
    await stopped;
});

test("requests that were pipelined before the shutdown are all answered, and later ones are not passed on", async () => {
    const [app] = await startWithApps(1);
    app!.answerMilliseconds = 200;
    const { socket, text } = await open();
    socket.write(requestText("GET", "/look/1", "first", "") + requestText("GET", "/look/2", "second", ""));
    await fixture.waitUntil(() => receivedTotal() === 2);
    const stopped = fixture.stopGateway();
    socket.write(requestText("GET", "/look/3", "third", ""));
    const statuses = [...(await text).matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]);
    expect(statuses.slice(0, 2)).toEqual(["200", "200"]);
    expect(receivedTotal()).toBe(2);
    await stopped;
});

test("a request that crosses the closing of its connection after a stream is not passed on", async () => {
    await startWithEngines(40);
    const { socket, text } = await open();
    socket.on("data", (chunk: Buffer) => {
        if (chunk.toString().endsWith("0\r\n\r\n")) {
            socket.write(requestText("POST", "/report-text/2", "next", "prompt"));
        }
    });
    socket.write(requestText("POST", "/report-text/1", "stream", "prompt"));
    await fixture.waitUntil(() => receivedTotal() === 1);
    await pause(100);
    const stopped = fixture.stopGateway();
    expect((await text).match(/^HTTP/gm)).toHaveLength(1);
    await stopped;
    expect(receivedTotal()).toBe(1);
});

test("a stream that pauses late in the grace period keeps its attempt, since no other one may start", async () => {
    const engines = await startWithEngines(40);
    const setEventMilliseconds = (milliseconds: number) =>
        engines.forEach(engine => {
            engine.eventMilliseconds = milliseconds;
        });
    const response = fixture.send("POST", "/report-text/1", { "X-Deadline-Ms": "5000" }, "prompt");
    await fixture.waitUntil(() => receivedTotal() === 1);
    await pause(100);
    const stopped = fixture.stopGateway();
    setEventMilliseconds(1_150);
    await pause(100);
    setEventMilliseconds(2);
    expect(await response).toMatchObject({ status: 200, complete: true });
    expect(receivedTotal()).toBe(1);
    await stopped;
});

/** Sends the first part of a head, and the rest of the request after the given time. */
async function sendSlowly(id: string, milliseconds: number): Promise<{ id: string; text: string; }> {
    const { socket, text } = await open();
    socket.write("POST ");
    await pause(milliseconds);
    if (socket.writable) {
        socket.write(requestText("POST", "/book/1", id, "body").slice("POST ".length).replace("Ms: 5000", "Ms: 200"));
    }
    return { id, text: await text };
}

/** Sends bookings whose heads are complete one after the other, from the first time to the last. */
function sendSlowlyBetween(from: number, to: number, step: number): Promise<{ id: string; text: string; }[]> {
    const times = Array.from({ length: (to - from) / step }, (_value, index) => from + step * index);
    return Promise.all(times.map(time => sendSlowly(`slow-${time}`, time)));
}

function passedOnWithoutAnswer(results: readonly { id: string; text: string; }[]): string[] {
    const passedOn = new Set(
        fixture.servers.flatMap(({ received }) => received.map(({ headers }) => headers["x-attempt-id"])),
    );
    return results.filter(({ id, text }) => passedOn.has(id) && !/\r\n\r\n./.test(text)).map(({ id }) => id);
}

// A stop that looked once for requests in flight passed on those that came later, and cut them as the process ended.
test("a booking whose head is complete only after all others are answered is answered too", async () => {
    const [app] = await startWithApps(1, 4);
    app!.answerMilliseconds = 60;
    fixture.store.answerMilliseconds = 250;
    const stopped = fixture.stopGateway();
    const results = await sendSlowlyBetween(2_000, 3_000, 20);
    expect(passedOnWithoutAnswer(results)).toEqual([]);
    expect(results.filter(({ text }) => !text.startsWith("HTTP/1.1 200 "))).toEqual([]);
    await stopped;
});

// The runtime ends no connection without a complete head once its server has been closed.
test("a connection whose head never ends holds up the stop for the time that a head may take", async () => {
    await startWithApps(1, 6);
    fixture.publish(2, {
        limits: { max_header_bytes: 16_384, max_body_bytes: 2_000, header_timeout_ms: 400, idle_timeout_ms: 15_000 },
    });
    await pause(300);
    const startedAt = performance.now();
    const stopped = fixture.stopGateway();
    await pause(2_400);
    const { socket } = await open();
    socket.write("POST ");
    await stopped;
    expect(performance.now() - startedAt).toBeLessThan(4_500);
});

// Requests that came between the last cancellation and the end of the process were passed on and cut.
test("no booking that reaches a server at the end of the grace period stays without an answer", async () => {
    const [app] = await startWithApps(1);
    app!.answerMilliseconds = 60;
    fixture.store.answerMilliseconds = 250;
    const stopped = fixture.stopGateway();
    const bookings = sendSlowlyBetween(1_100, 2_000, 20);
    // An upload that never ends keeps the gateway serving until the grace period ends.
    const upload = await open();
    upload.socket.write(requestText("POST", "/book/1", "upload", "bo", 4));
    const results = await bookings;
    expect(passedOnWithoutAnswer(results)).toEqual([]);
    expect(results.filter(({ text }) => text !== "" && !/^HTTP\/1\.1 (200|503) /.test(text))).toEqual([]);
    await stopped;
});

// Uploads were cut without an answer, since reading a body did not notice that the request was cancelled.
test("an upload that is still arriving at the end of the grace period is refused as not run", async () => {
    await startWithApps(1);
    const stopped = fixture.stopGateway();
    await pause(700);
    const { socket, text } = await open();
    socket.write(requestText("POST", "/book/1", "upload", "bo", 4));
    await stopped;
    expect(await text).toMatch(/^HTTP\/1\.1 503 [^]*not-run/);
    expect(receivedTotal()).toBe(0);
});

// Closing a connection with unread input resets it, and the caller may then never read the response.
test("a refusal during the shutdown reaches a caller that sends its whole body first", async () => {
    await startWithApps(1);
    const stopped = fixture.stopGateway();
    await pause(600);
    const { socket, text } = await open();
    socket.write(requestText("POST", "/nowhere/", "refused", "bo", 2_000));
    for (let part = 0; part < 10; part++) {
        await pause(20);
        socket.write("x".repeat(199));
    }
    expect(await text).toMatch(/^HTTP\/1\.1 404 [^]*not-found/);
    expect(socket.errored).toBeNull();
    await stopped;
});

test("a request that waits for the configuration is refused at once", async () => {
    fixture = await GatewayFixture.start([new StandInBackendServer("app", "app")]);
    const waiting = fixture.send("POST", "/book/1", { "X-Deadline-Ms": "10000" }, "body");
    await pause(100);
    const startedAt = performance.now();
    const stopped = fixture.stopGateway();
    expect(await waiting).toMatchObject({ status: 503, headers: { "retry-after": "0" } });
    expect(performance.now() - startedAt).toBeLessThan(300);
    await stopped;
});

test("a response that its caller reads slowly arrives complete", async () => {
    const [app] = await startWithApps(1);
    app!.answerText = "x".repeat(12_000_000);
    const { socket, text } = await open();
    socket.pause();
    socket.write(requestText("GET", "/look/1", "slow", ""));
    await fixture.waitUntil(() => app!.received[0]?.endedAt !== undefined);
    const stopped = fixture.stopGateway();
    await pause(1_000);
    socket.resume();
    expect((await text).length).toBeGreaterThan(12_000_000);
    await stopped;
});
