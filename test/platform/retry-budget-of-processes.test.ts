/** The retry budget of routers that run as processes, while they are killed, paused and started again. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type RouterProcess, RouterProgram, sendTo } from "../support/router-process.js";
import { configuration } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";
import { StandInStore } from "./stand-ins/store.js";

const routerCount = 3;
const ratio = 0.2;
const extra = 60;
const windowSeconds = 3;
const clientsPerRouter = 4;
const clientPauseMilliseconds = 15;

let store: StandInStore;
let servers: StandInBackendServer[];
let program: RouterProgram;
let routers: RouterProcess[];

beforeEach(async () => {
    jest.useRealTimers();
    store = new StandInStore();
    await store.start();
    servers = Array.from({ length: 6 }, (_value, index) => new StandInBackendServer(`app-${index}`, "app"));
    await Promise.all(servers.map(server => server.start()));
    servers.forEach(server => store.put(`servers/${server.id}`, server.entry()));
    const base = configuration(1);
    const [look] = base["routes"] as Record<string, unknown>[];
    store.put("op/config", {
        ...base,
        routes: [{ ...look, max_attempts: 5 }],
        services: [{ name: "app", health_path: "/health", max_connections: 100 }],
    });
    program = new RouterProgram();
    await program.build();
    const bounds = { retryRatio: ratio, retryExtra: extra, retryWindowSeconds: windowSeconds };
    routers = Array.from(
        { length: routerCount },
        (_value, index) => program.addRouter(`edge-${index}`, store.address, bounds),
    );
    routers.forEach(router => router.start());
}, 20_000);
afterEach(async () => {
    await program.stop();
    await Promise.all(servers.map(server => server.stop()));
    await store.stop();
});

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

async function waitUntilReady(): Promise<void> {
    for (const router of routers) {
        while (!await router.isReady()) {
            await pause(20);
        }
    }
}

/** Sends requests in loops until the signal is aborted; returns the times at which they were sent. */
async function sendTraffic(router: RouterProcess, stopped: AbortSignal): Promise<number[]> {
    const sentAt: number[] = [];
    const client = async (number: number) => {
        for (let count = 0; !stopped.aborted; count++) {
            sentAt.push(performance.now());
            const sent = sendTo(router.callers, "GET", "/look/1", {
                "Host": "yard.example",
                "Authorization": "Bearer key-1",
                "X-Attempt-Id": `${router.callers}-${number}-${count}`,
                "X-Deadline-Ms": "900",
            });
            await Promise.race([sent, pause(900)]);
            await pause(clientPauseMilliseconds);
        }
    };
    await Promise.all(Array.from({ length: clientsPerRouter }, (_value, number) => client(number)));
    return sentAt;
}

/** The largest share of the budget that was used in any window. */
function largestUse(sentAt: readonly number[]): number {
    const windowMilliseconds = windowSeconds * 1_000;
    const seen = new Set<unknown>();
    const repeats = servers.flatMap(({ received }) => received)
        .sort((one, other) => one.receivedAt - other.receivedAt)
        .filter(({ headers }) => {
            const isRepeat = seen.has(headers["x-attempt-id"]);
            seen.add(headers["x-attempt-id"]);
            return isRepeat;
        })
        .map(({ receivedAt }) => receivedAt);
    const within = (times: readonly number[], end: number) =>
        times.filter(time => time > end - windowMilliseconds && time <= end).length;
    return Math.max(...repeats.map(end => {
        const requests = Math.max(...[0, 0.5, 1].map(age => within(sentAt, end - age * windowMilliseconds)));
        return within(repeats, end) / (ratio * requests + extra);
    }));
}

// Routers that fell back to fixed shares, or started anew, repeated more requests than all together may.
test("repeats stay within the budget while routers are killed, paused and started again", async () => {
    await waitUntilReady();
    servers.forEach(server => {
        server.behavior = "refuse";
    });
    const stopped = new AbortController();
    const traffic = Promise.all(routers.map(router => sendTraffic(router, stopped.signal)));
    await pause(4_000);
    const leader = routers.find(({ output }) => output.includes("became placement leader"))!;
    await leader.kill();
    await pause(1_000);
    leader.start();
    await pause(1_500);
    routers.forEach(router => router.signal("SIGSTOP"));
    await pause(700);
    routers.forEach(router => router.signal("SIGCONT"));
    await pause(700);
    await Promise.all(routers.map(router => router.kill()));
    routers.forEach(router => router.start());
    await pause(2_000);
    await routers[0]!.kill();
    routers[0]!.start();
    await pause(2_500);
    stopped.abort();
    const use = largestUse((await traffic).flat());
    expect(use).toBeLessThanOrEqual(1);
    expect(use).toBeGreaterThan(0.4);
}, 40_000);
