import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { Agent, request } from "node:http";
import { configuration, GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Resolves to the status and whether the response was complete; rejects if there was no response. */
function send(agent: Agent, method: string, path: string, body?: string): Promise<string> {
    const headers = {
        "Host": "yard.example",
        "Authorization": "Bearer key-1",
        "X-Attempt-Id": "a",
        "X-Deadline-Ms": "4000",
    };
    return new Promise((resolve, reject) => {
        const sent = request(
            { host: "127.0.0.1", port: fixture.callerPort, method, path, headers, agent },
            response => {
                response.on("close", () => resolve(`${response.statusCode} ${response.complete ? "complete" : "cut"}`));
                response.on("error", () => undefined);
                response.resume();
            },
        );
        sent.on("error", reject);
        sent.end(body);
    });
}

test("requests in flight and kept connections survive changes of limits, routes and services", async () => {
    const engines = [0, 10].map(from => {
        const engine = new StandInBackendServer(`engine-${from}`, "pool");
        engine.layers = { from, target: from + 10 };
        engine.eventMilliseconds = 120;
        return engine;
    });
    fixture = await GatewayFixture.start([...engines, new StandInBackendServer("app-1", "app")], 1);
    await fixture.waitUntil(() => fixture.isReady());
    const agent = new Agent({ keepAlive: true, maxSockets: 6 });
    const answers: Promise<string>[] = [];
    const limits = configuration(1)["limits"] as object;
    const services = configuration(1)["services"] as object[];
    for (let version = 2; version < 12; version++) {
        answers.push(send(agent, "POST", "/report-text/1", "prompt"), send(agent, "GET", "/look/1"));
        await pause(60);
        const short = { ...limits, header_timeout_ms: 500, idle_timeout_ms: version % 2 === 0 ? 600 : 15_000 };
        fixture.publish(version, { limits: short, services: version % 3 === 0 ? [...services].reverse() : services });
    }
    // Neither limit bounds a request that has been read, or a connection that has been idle for less.
    answers.push(send(agent, "POST", "/report-text/1", "prompt"));
    await pause(1_500);
    answers.push(send(agent, "GET", "/look/1"));
    expect(new Set(await Promise.all(answers))).toEqual(new Set(["200 complete"]));
    agent.destroy();
});
