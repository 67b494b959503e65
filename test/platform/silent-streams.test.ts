import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import type { GatewaySettings } from "../../src/process/gateway/settings.js";
import { configuration, GatewayFixture } from "./gateway-fixture.js";
import { type Behavior, StandInBackendServer } from "./stand-ins/backend-server.js";

/** Longer than the stall timeout within a stream, shorter than the patience of callers. */
const silenceMilliseconds = 1_300;
const completeStream = Array.from({ length: 10 }, (_value, index) => `id: ${index + 1}\ndata: word ${index + 1}\n\n`)
    .join("");
const complete = { status: 200, complete: true, body: completeStream };

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
const runCount = () => fixture.servers.reduce((sum, { received }) => sum + received.length, 0);
const serverWithRun = () => fixture.servers.find(({ received }) => received.length > 0)!;
const others = (server: StandInBackendServer) => fixture.servers.filter(candidate => candidate !== server);

async function startFixture(bounds: Partial<GatewaySettings["bounds"]> = {}, copies = 2): Promise<void> {
    const servers = Array.from({ length: copies }, (_value, index) => `-${index}`).flatMap(suffix =>
        [0, 10].map(from => {
            const server = new StandInBackendServer(`engine-${from}${suffix}`, "pool");
            server.layers = { from, target: from + 10 };
            return server;
        })
    );
    fixture = await GatewayFixture.start(servers, 1, bounds);
    await fixture.waitUntil(() => fixture.isReady());
}

function sendStream(id = "attempt-1") {
    return fixture.send("POST", "/report-text/1", {
        "X-Token-Counts": "700,150",
        "X-Attempt-Id": id,
        "X-Deadline-Ms": "8000",
    }, "prompt");
}

/** Starts a stream and, once a server runs it, makes all servers behave as given towards later runs. */
async function startStream(laterBehavior: Behavior) {
    const response = sendStream();
    await fixture.waitUntil(() => runCount() > 0);
    setBehavior(laterBehavior);
    return { response, server: serverWithRun() };
}

function setSilence(beforeEvent: number, milliseconds = silenceMilliseconds): void {
    fixture.servers.forEach(server => {
        server.silence = { beforeEvent, milliseconds };
    });
}

function publishMaximumAttempts(maximumAttempts: number): void {
    const routes = configuration(2)["routes"] as object[];
    fixture.publish(2, { routes: routes.map(route => ({ ...route, max_attempts: maximumAttempts })) });
}

function setBehavior(behavior: Behavior): void {
    fixture.servers.forEach(server => {
        server.behavior = behavior;
    });
}

describe("a stream on a server that is silent and then goes on", () => {
    test("is completed by this server if the new run is refused", async () => {
        await startFixture();
        setSilence(4);
        const { response, server } = await startStream("refuse");
        expect(await response).toMatchObject(complete);
        expect(server.abortedRequests).toBe(0);
        expect(runCount()).toBeGreaterThan(1);
    });

    test("is completed by this server if the new run sends no event before it, and the new run is cancelled", async () => {
        await startFixture();
        setSilence(4);
        const { response, server } = await startStream("mute");
        expect(await response).toMatchObject(complete);
        expect(server.abortedRequests).toBe(0);
        await pause(200);
        expect(others(server).filter(({ abortedRequests }) => abortedRequests === 1)).toHaveLength(1);
        expect(runCount()).toBe(2);
    });

    test("is completed by the new run if that sends the rest of the stream at once", async () => {
        await startFixture();
        setSilence(4, 5_000);
        const { response, server } = await startStream("answer");
        others(server).forEach(other => {
            other.sendsEventsTogether = true;
        });
        expect(await response).toMatchObject(complete);
        expect(runCount()).toBe(2);
    });

    test("is completed by a later new run if the first one is refused", async () => {
        await startFixture();
        setSilence(4, 5_000);
        const { response, server } = await startStream("refuse");
        await fixture.waitUntil(() => runCount() === 2);
        setBehavior("answer");
        expect(await response).toMatchObject(complete);
        expect(server.abortedRequests).toBe(1);
    });

    test("is offered to other servers only until six have refused it", async () => {
        await startFixture();
        setSilence(4, 3_500);
        const { response } = await startStream("refuse");
        expect(await response).toMatchObject(complete);
        expect(runCount()).toBe(1 + 6);
    });

    test("is not run again if the route allows one attempt", async () => {
        await startFixture();
        publishMaximumAttempts(1);
        await pause(300);
        setSilence(4);
        const { response } = await startStream("answer");
        expect(await response).toMatchObject(complete);
        expect(runCount()).toBe(1);
    });

    test("is completed by the new run if that is first, and this server's run is cancelled", async () => {
        await startFixture();
        setSilence(4, 5_000);
        const { response, server } = await startStream("answer");
        expect(await response).toMatchObject(complete);
        expect(server.abortedRequests).toBe(1);
        const [resumed] = others(server).flatMap(({ received }) => received);
        expect(resumed!.headers["last-event-id"]).toBe("3");
    });

    test("is completed by this server if the retry budget is used up", async () => {
        await startFixture({ retryRatio: 0, retryExtra: 0 });
        setSilence(4);
        const { response } = await startStream("answer");
        expect(await response).toMatchObject(complete);
        expect(runCount()).toBe(1);
    });

    test("is run on no more servers than the route allows", async () => {
        await startFixture();
        setSilence(4, 2_500);
        const { response, server } = await startStream("mute");
        expect(await response).toMatchObject(complete);
        expect(others(server).flatMap(({ received }) => received)).toHaveLength(1);
    });

    // A run that another one overtook before its head arrived was not counted, although its server may have run the request.
    test("is run on no more servers than the route allows if its first run is overtaken before its head", async () => {
        await startFixture({}, 3);
        setSilence(1, 1_500);
        const response = sendStream();
        await fixture.waitUntil(() => runCount() > 0);
        others(serverWithRun()).forEach(other => {
            other.silence = { beforeEvent: 4, milliseconds: 1_500 };
        });
        expect(await response).toMatchObject(complete);
        expect(runCount()).toBe(2);
    });

    test("is not run a third time after a new run without a head has been overtaken, if that breaks off", async () => {
        await startFixture({}, 3);
        setBehavior("break-first-run");
        setSilence(3);
        const response = sendStream();
        await fixture.waitUntil(() => runCount() > 0);
        const server = serverWithRun();
        const setBehaviorOfOthers = (behavior: Behavior) =>
            others(server).forEach(other => {
                other.behavior = behavior;
            });
        setBehaviorOfOthers("mute");
        await fixture.waitUntil(() => runCount() === 2);
        setBehaviorOfOthers("answer");
        expect(await response).toMatchObject({ status: 200, complete: false });
        expect(runCount()).toBe(2);
    });

    test("is completed by this server if it is silent before the first event and the new run is refused", async () => {
        await startFixture();
        setSilence(1);
        const { response, server } = await startStream("refuse");
        expect(await response).toMatchObject({ ...complete, headers: { "x-replica-seal": `seal-${server.id}` } });
        expect(runCount()).toBeGreaterThan(1);
    });

    test("gets the head of the run that delivers the first event", async () => {
        await startFixture();
        setSilence(1, 800);
        const { response, server } = await startStream("answer");
        others(server).forEach(other => {
            other.sendsHeadEarly = true;
            other.silence = { beforeEvent: 1, milliseconds: 5_000 };
        });
        expect(await response).toMatchObject({ ...complete, headers: { "x-replica-seal": `seal-${server.id}` } });
        expect(runCount()).toBe(2);
    });

    test("is cancelled on both servers when the caller leaves", async () => {
        await startFixture();
        setSilence(1, 5_000);
        const left = fixture.sendAndDisconnect("POST", "/report-text/1", 750);
        await fixture.waitUntil(() => runCount() === 2);
        await left;
        await fixture.waitUntil(() => fixture.servers.reduce((sum, server) => sum + server.abortedRequests, 0) === 2);
        await pause(300);
        expect(runCount()).toBe(2);
    });
});

describe("streams on a server that is reported without its layers", () => {
    async function startStreams(count: number) {
        const responses = Array.from({ length: count }, (_value, index) => sendStream(`attempt-${index}`));
        await fixture.waitUntil(() => runCount() === count);
        await pause(150);
        const [busiest] = [...fixture.servers].sort((left, right) => right.received.length - left.received.length);
        await fixture.sendPlacementNotice([{ id: busiest!.id, bornAt: 1, layers: undefined, lost: false }]);
        return Promise.all(responses);
    }

    test("all go on if they are silent for a moment, and one is run again if the budget has one retry left", async () => {
        await startFixture({ retryRatio: 0, retryExtra: 7.2 });
        setSilence(4, 800);
        for (const response of await startStreams(6)) {
            expect(response).toMatchObject(complete);
        }
        expect(runCount()).toBe(7);
    });

    test("are not run again while they make progress", async () => {
        await startFixture();
        fixture.servers.forEach(server => {
            server.eventMilliseconds = 60;
        });
        for (const response of await startStreams(6)) {
            expect(response).toMatchObject(complete);
        }
        expect(runCount()).toBe(6);
    });
});

test("a stream whose new run is on a lost server too is run a third time", async () => {
    await startFixture({}, 3);
    publishMaximumAttempts(3);
    await pause(300);
    setSilence(4, 6_000);
    const { response, server } = await startStream("mute");
    const reportLost = (lost: StandInBackendServer) =>
        fixture.sendPlacementNotice([{ id: lost.id, bornAt: 1, layers: undefined, lost: true }]);
    await reportLost(server);
    await fixture.waitUntil(() => runCount() === 2);
    setBehavior("answer");
    await reportLost(others(server).find(({ received }) => received.length > 0)!);
    expect(await response).toMatchObject(complete);
    expect(runCount()).toBe(3);
});

describe("a stream whose run has broken off", () => {
    test("is completed after the servers have refused its new run for a time", async () => {
        await startFixture();
        setBehavior("break-first-run");
        const response = sendStream();
        await fixture.waitUntil(() => runCount() > 0);
        setBehavior("refuse");
        await pause(1_100);
        setBehavior("answer");
        expect(await response).toMatchObject(complete);
    });

    test("is completed once the retry budget allows its new run", async () => {
        await startFixture({ retryRatio: 0, retryExtra: 0 });
        setBehavior("break-first-run");
        const response = sendStream();
        await pause(500);
        await fixture.sendPlacementNotice([], new Map([["pool", 2]]));
        expect(await response).toMatchObject(complete);
    });
});

test("streams that get an error response are run again on another server", async () => {
    await startFixture();
    await sendStream();
    serverWithRun().behavior = "fail";
    for (let count = 0; count < 12; count++) {
        expect(await sendStream(`attempt-${count}`)).toMatchObject(complete);
    }
    expect(serverWithRun().received.length).toBeGreaterThan(1);
});
