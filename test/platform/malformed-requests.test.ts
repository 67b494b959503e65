import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { connect } from "node:net";
import { GatewayFixture } from "./gateway-fixture.js";
import { StandInBackendServer } from "./stand-ins/backend-server.js";

let fixture: GatewayFixture;

beforeEach(() => void jest.useRealTimers());
afterEach(() => fixture.stop());

/** A server of the plain service and two engines that hold the model together. */
function createServers(): StandInBackendServer[] {
    const engines = [0, 10].map(from => {
        const engine = new StandInBackendServer(`engine-${from}`, "pool");
        engine.layers = { from, target: from + 10 };
        return engine;
    });
    return [new StandInBackendServer("app-1", "app"), ...engines];
}

async function servesEverything(): Promise<boolean> {
    const plain = await fixture.send("GET", "/look/1");
    return plain.status === 200 && (await fixture.send("POST", "/report-text/1", {}, "prompt")).status === 200;
}

/** Sends bytes as a request and resolves to the status line of the response. */
function sendBytes(port: number, lines: readonly string[]): Promise<string> {
    return new Promise((resolve, reject) => {
        let text = "";
        const socket = connect(port, "127.0.0.1", () => {
            socket.write(Buffer.from([...lines, "", ""].join("\r\n"), "latin1"));
        });
        socket.on("data", data => {
            text += data.toString("latin1");
        });
        socket.on("error", reject);
        socket.on("close", () => resolve(text.split("\r\n", 1)[0]!));
    });
}

// The runtime parses such paths and refuses to send them; its exception ended the process.
test.each(["/look/\f", "/look/\t", "/look/a\tb?x=\f", "/report-text/\f"])(
    "the path %j, which cannot be forwarded, gets 400, and the next request is served",
    async path => {
        fixture = await GatewayFixture.start(createServers(), 1);
        await fixture.waitUntil(() => servesEverything());
        const status = await sendBytes(fixture.callerPort, [
            `GET ${path} HTTP/1.1`,
            "Host: yard.example",
            "Authorization: Bearer key-1",
            "X-Attempt-Id: odd",
            "X-Deadline-Ms: 900",
            "Connection: close",
        ]);
        expect(status).toBe("HTTP/1.1 400 Bad Request");
        expect((await fixture.send("GET", "/look/1")).status).toBe(200);
    },
);

test.each(["//", "http://["])("a router that is sent the path %j by another one responds with 404", async path => {
    fixture = await GatewayFixture.start([], 1);
    const status = await sendBytes(fixture.peerPort, [`GET ${path} HTTP/1.1`, "Host: router", "Connection: close"]);
    expect(status).toBe("HTTP/1.1 404 Not Found");
});

// Statuses above 599 were passed on as answers of the server.
test.each(
    ["000", "099", "101", "600", "999", "0200", "2000"].flatMap(status => [
        [status, "GET", "/look/1"],
        [status, "POST", "/book/1"],
        [status, "POST", "/report-text/1"],
    ]),
)("a response of status %s to %s %s is not a response of the server", async (status, method, path) => {
    const servers = createServers();
    fixture = await GatewayFixture.start(servers, 1);
    await fixture.waitUntil(() => servesEverything());
    servers.forEach(server => {
        server.rawStatus = status;
    });
    const response = await fixture.send(method, path);
    expect(response).toMatchObject({ status: 502, complete: true });
    expect(response.headers["x-replica-seal"]).toBeUndefined();
});

// Requests were sent to the odd entry, which ended the process.
test("while the registry holds odd entries, requests are served and later entries are followed", async () => {
    const [app, ...engines] = createServers();
    fixture = await GatewayFixture.start([app!, ...engines], 1);
    [app!, engines[0]!].forEach(server => {
        [{ address: "127.0.0.1:99999" }, { address: "127.0.0.1:0" }, { slots: -3 }]
            .forEach((changes, index) =>
                fixture.store.put(`servers/odd-${server.service}-${index}`, server.entry({ slots: 1_000, ...changes }))
            );
    });
    fixture.store.put("servers/deep", `${"[".repeat(100_000)}${"]".repeat(100_000)}`);
    fixture.store.put("servers/a\nb", app!.entry());
    await fixture.waitUntil(() => servesEverything());
    for (let count = 0; count < 10; count++) {
        expect(await servesEverything()).toBe(true);
    }
    fixture.register(app!, { state: "draining" });
    const late = new StandInBackendServer("app-late", "app");
    await late.start();
    fixture.servers.push(late);
    fixture.register(late);
    await fixture.waitUntil(async () => (await fixture.send("GET", "/look/1")).body === "answer of app-late");
});
