/**
 * Callers that leave at random moments, while backend servers change their behavior and the event loop is blocked at
 * times. Seeds other than the default: `SOAK_SEEDS=FIRST-LAST npm test -- disconnection-soak`.
 */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { connect } from "node:net";
import { type RandomSource, SeededRandom } from "../../src/common/random.js";
import { GatewayFixture } from "./gateway-fixture.js";
import { type Behavior, StandInBackendServer } from "./stand-ins/backend-server.js";

const callerCount = 120;
const callerIntervalMilliseconds = 12;
const behaviorIntervalMilliseconds = 90;
const longestBlockMilliseconds = 200;
/** Work for a caller must neither begin nor go on later than this after it has left. */
const cancellationMilliseconds = 500;
const behaviors: Behavior[] = ["answer", "answer", "refuse", "refuse", "refuse", "reset", "mute", "break-stream"];
const paths = ["GET /look/", "POST /book/", "POST /report-text/", "POST /report-text/"];

const [firstSeed, lastSeed] = (process.env["SOAK_SEEDS"] ?? "1-3").split("-").map(Number);
const seeds = Array.from({ length: lastSeed! - firstSeed! + 1 }, (_value, index) => firstSeed! + index);

interface Caller {
    readonly id: string;
    /** Undefined while the caller stays. */
    leftAt: number | undefined;
    /** Whether it leaves as soon as its request is written. */
    readonly leavesAtOnce: boolean;
    received: string;
    closed: boolean;
}

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

function blockEventLoop(milliseconds: number): void {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // Keeps the event loop from running.
    }
}

function startCaller(id: string, random: RandomSource): Caller {
    const lines = [
        `${paths[Math.floor(random.next() * paths.length)]}${id} HTTP/1.1`,
        "Host: yard.example",
        "Authorization: Bearer key-1",
        `X-Attempt-Id: ${id}`,
        "X-Deadline-Ms: 3000",
        "Content-Length: 6",
        "Connection: close",
        "",
        "prompt",
    ];
    const stays = random.next() < 0.3;
    const leavesAtOnce = !stays && random.next() < 0.3;
    const leaveAfter = random.next() * 400;
    const caller: Caller = { id, leftAt: undefined, leavesAtOnce, received: "", closed: false };
    const socket = connect(fixture.callerPort, "127.0.0.1", () => {
        socket.write(lines.join("\r\n"));
        if (!stays) {
            const leave = () => {
                if (!caller.closed) {
                    caller.leftAt = performance.now();
                    socket.destroy();
                }
            };
            if (leavesAtOnce) {
                leave();
            }
            else {
                setTimeout(leave, leaveAfter);
            }
        }
    });
    socket.on("data", (data: Buffer) => {
        caller.received += data.toString();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        caller.closed = true;
    });
    return caller;
}

function createServers(): StandInBackendServer[] {
    const engines = ["1", "2"].flatMap(suffix =>
        [0, 10].map(from => {
            const engine = new StandInBackendServer(`engine-${from}-${suffix}`, "pool");
            engine.layers = { from, target: from + 10 };
            engine.eventMilliseconds = 80;
            return engine;
        })
    );
    return [...engines, new StandInBackendServer("app-1", "app"), new StandInBackendServer("app-2", "app")];
}

async function runCallers(random: RandomSource): Promise<Caller[]> {
    const callers: Caller[] = [];
    const changeBehaviors = setInterval(() => {
        fixture.servers.forEach(server => {
            server.behavior = behaviors[Math.floor(random.next() * behaviors.length)]!;
        });
        if (random.next() < 0.4) {
            blockEventLoop(random.next() * longestBlockMilliseconds);
        }
    }, behaviorIntervalMilliseconds);
    for (let index = 0; index < callerCount; index++) {
        callers.push(startCaller(`caller-${index}`, random));
        await pause(random.next() * 2 * callerIntervalMilliseconds);
    }
    clearInterval(changeBehaviors);
    return callers;
}

test.each(seeds)("no work begins or goes on for callers that have left (seed %d)", async seed => {
    const random = new SeededRandom(seed);
    fixture = await GatewayFixture.start(createServers(), 1);
    await fixture.waitUntil(() => fixture.isReady());
    const callers = await runCallers(random);
    await pause(cancellationMilliseconds);
    const callersById = new Map(callers.map(caller => [caller.id, caller]));
    const requests = fixture.servers.flatMap(({ received }) => received).map(request => ({
        caller: callersById.get(request.headers["x-attempt-id"] as string)!,
        endedAt: request.endedAt ?? Infinity,
    }));
    expect(requests.filter(({ caller }) => caller.leavesAtOnce)).toEqual([]);
    expect(requests.filter(({ caller, endedAt }) => endedAt > (caller.leftAt ?? Infinity) + cancellationMilliseconds))
        .toEqual([]);
    expect(callers.filter(caller => caller.leftAt !== undefined).length).toBeGreaterThan(callerCount / 3);
    await fixture.waitUntil(() => callers.every(({ closed }) => closed));
    const unanswered = callers.filter(caller =>
        caller.leftAt === undefined && !caller.received.startsWith("HTTP/1.1 ")
    );
    expect(unanswered).toEqual([]);
});
