/** The deployed program is told to stop more than once while a request that it has passed on is running. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type RouterProcess, RouterProgram, sendTo } from "../support/router-process.js";
import { configuration } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";
import { StandInStore } from "./stand-ins/store.js";

let store: StandInStore;
let server: StandInBackendServer;
let program: RouterProgram;
let router: RouterProcess;

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
const send = (id: string) =>
    sendTo(router.callers, "POST", "/book/1", {
        "Host": "yard.example",
        "Authorization": "Bearer key-1",
        "X-Attempt-Id": id,
        "X-Deadline-Ms": "5000",
    });

beforeEach(async () => {
    jest.useRealTimers();
    store = new StandInStore();
    await store.start();
    server = new StandInBackendServer("app-1", "app");
    await server.start();
    store.put(`servers/${server.id}`, server.entry());
    const base = configuration(1);
    const [, book] = base["routes"] as Record<string, unknown>[];
    store.put("op/config", {
        ...base,
        routes: [{ ...book, timeout_ms: 5_000 }],
        services: [{ name: "app", health_path: "/health", max_connections: 100 }],
    });
    program = new RouterProgram();
    await program.build();
    router = program.addRouter("edge-1", store.address, { shutdownGraceSeconds: 8 });
    router.start();
    while (!await router.isReady() || await send("first") !== 200) {
        await pause(20);
    }
}, 20_000);
afterEach(async () => {
    await program.stop();
    await server.stop();
    await store.stop();
});

test.each(["SIGTERM", "SIGINT"] as const)("a %s after the first SIGTERM cuts no request", async signal => {
    server.answerMilliseconds = 1_000;
    const answer = send("running");
    while (server.received.length < 2) {
        await pause(10);
    }
    router.signal("SIGTERM");
    await pause(100);
    router.signal(signal);
    expect(await answer).toBe(200);
    while (router.isRunning) {
        await pause(50);
    }
}, 20_000);
