import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import type { ServerEntry } from "../../../src/domain/gateway/server-entry.js";
import { ConnectionFailure, PromptPartBlockedError } from "../../../src/errors/index.js";
import type { PromptQuarantine } from "../../../src/process/gateway/prompt-quarantine/prompt-quarantine.js";
import { CrashGuard, refuseBlockedPrompt } from "../../../src/request/gateway/crash-guard.js";
import { AttemptEnd, type AttemptResult } from "../../../src/request/gateway/stream-attempt.js";
import type { GatewayRequest } from "../../../src/request/gateway/types.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

const request = { sharedPromptParts: ["a1", "b1"] } as unknown as GatewayRequest;
const crashed: AttemptResult = {
    end: AttemptEnd.broken,
    reason: "connection broken",
    connectionFailure: ConnectionFailure.broken,
    streamStarted: true,
    deliveredEvents: 0,
};

let suspects: string[];
let successes: number;
let unreachable: Set<string>;
let blocked: boolean;
let guard: CrashGuard;

const quarantine = {
    recordSuspect: (server: ServerEntry) => suspects.push(server.id),
    recordSuccess: () => successes++,
    findBlock: () => blocked ? { part: "a1", remainingMilliseconds: 1_500 } : undefined,
} as unknown as PromptQuarantine;

beforeEach(() => {
    jest.useFakeTimers();
    suspects = [];
    successes = 0;
    unreachable = new Set(["server-1", "server-2"]);
    blocked = false;
    const findUnreachable = async (servers: readonly ServerEntry[]) => servers.filter(({ id }) => unreachable.has(id));
    guard = new CrashGuard({ quarantine, reachability: { findUnreachable } }, request);
});
afterEach(() => void jest.useRealTimers());

async function record(id: string, result: AttemptResult): Promise<void> {
    guard.recordAttempt(serverEntry(id), result);
    await jest.advanceTimersByTimeAsync(400);
}

test("an attempt that broke off before its second event at a server that is gone is a suspect", async () => {
    await record("server-1", crashed);
    await record("server-2", { ...crashed, deliveredEvents: 1 });
    expect(suspects).toEqual(["server-1", "server-2"]);
});

test.each<[string, Partial<AttemptResult>]>([
    ["got its second event", { deliveredEvents: 2 }],
    ["had no response head", { streamStarted: false }],
    ["the gateway ended", { connectionFailure: undefined, end: AttemptEnd.superseded }],
    ["got no response in time", { connectionFailure: ConnectionFailure.silent }],
    ["was refused", { connectionFailure: ConnectionFailure.refused }],
])("an attempt that %s is no suspect", async (_case, changes) => {
    await record("server-1", { ...crashed, ...changes });
    expect(suspects).toEqual([]);
    expect(successes).toBe(changes.deliveredEvents === 2 ? 1 : 0);
});

test("an attempt whose server still accepts connections is no suspect", async () => {
    await record("server-3", crashed);
    expect(suspects).toEqual([]);
});

test("a reachability result from before the crash, which is shared for 300 ms, does not clear an attempt", async () => {
    unreachable.clear();
    setTimeout(() => unreachable.add("server-1"), 300);
    await record("server-1", crashed);
    expect(suspects).toEqual(["server-1"]);
});

test("a request that was a suspect in two crashes is not sent again, also while the second one is checked", async () => {
    await record("server-1", crashed);
    expect(await guard.findObjection()).toBeUndefined();
    guard.recordAttempt(serverEntry("server-2"), crashed);
    const objection = guard.findObjection();
    await jest.advanceTimersByTimeAsync(400);
    expect(await objection).toBe("2 backend servers crashed under the request");
});

test("a request whose connections broke at servers that live on is sent again", async () => {
    await record("server-3", crashed);
    await record("server-4", crashed);
    expect(await guard.findObjection()).toBeUndefined();
});

test("a request with a blocked part is refused as not run, with the rest of the block as Retry-After", async () => {
    expect(() => refuseBlockedPrompt(quarantine, request)).not.toThrow();
    blocked = true;
    expect(() => refuseBlockedPrompt(quarantine, request)).toThrow(PromptPartBlockedError);
    expect(() => refuseBlockedPrompt(quarantine, request)).toThrow(
        expect.objectContaining({ status: 503, outcome: "not-run", retryAfterSeconds: 2 }),
    );
    expect(await guard.findObjection()).toBe("the prompt part a1 has crashed backend servers");
});
