import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { SilentLogger } from "../../../src/common/logger.js";
import { PeerClient, type PeerRequest, type PeerResponse } from "../../../src/connection/gateway/peer-client.js";
import {
    decodeNotice,
    decodeReport,
    encodeNotice,
    encodeReport,
    HttpNoticeSender,
} from "../../../src/connection/gateway/peer-notices.js";
import type { SocketAddress } from "../../../src/domain/gateway/server-entry.js";
import { failures } from "../../support/failures.js";

const emptyReport = encodeReport({
    loads: new Map(),
    retryUsage: { usages: new Map(), recordedMilliseconds: 0 },
}).toString();
const sockets = new Set<Socket>();
let server: Server;
let port: number;
let answer: (socket: Socket) => void;

beforeEach(async () => {
    jest.useRealTimers();
    answer = () => undefined;
    server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    port = (server.address() as AddressInfo).port;
});

afterEach(async () => {
    sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => server.close(resolve));
});

/** Different addresses of the same server. */
const createRouters = (count: number): SocketAddress[] =>
    Array.from({ length: count }, (_value, index) => ({ host: `127.0.0.${index + 1}`, port }));

const createSender = (routers: readonly SocketAddress[], client = new PeerClient(failures)) =>
    new HttpNoticeSender(() => routers, client, failures, new SilentLogger());

/** Waits for a response however long the test process is held up; a notice would time out after half a second. */
class PatientPeerClient extends PeerClient {
    override send(router: SocketAddress, call: PeerRequest): Promise<PeerResponse> {
        return super.send(router, { ...call, timeoutMilliseconds: 60_000 });
    }
}
const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await pause(5);
    }
}

// A leader that opened a connection for each notice and silent router ran out of memory.
test("routers that do not answer hold a bounded number of connections, however many notices follow", async () => {
    await new Promise(resolve => server.close(resolve));
    await new Promise<void>(resolve => server.listen(port, "0.0.0.0", resolve));
    const sender = createSender(createRouters(100));
    for (let round = 0; round < 10; round++) {
        sender.send(
            () => ({
                sender: "leader",
                servers: [],
                otherLoads: new Map(),
                retryGrants: new Map(),
                slowdowns: new Map(),
            }),
            () => undefined,
        );
        await pause(20);
    }
    expect(sockets.size).toBeGreaterThan(0);
    expect(sockets.size).toBeLessThanOrEqual(40);
});

test("a router whose response is awaited is sent the newest notice next, and none in between", async () => {
    const received: number[] = [];
    const heldAnswers: (() => void)[] = [];
    answer = socket => {
        heldAnswers.push(() =>
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${emptyReport.length}\r\n\r\n${emptyReport}`)
        );
    };
    const sender = createSender(createRouters(1), new PatientPeerClient(failures));
    for (let round = 0; round < 5; round++) {
        sender.send(() => {
            received.push(round);
            return {
                sender: "leader",
                servers: [],
                otherLoads: new Map(),
                retryGrants: new Map(),
                slowdowns: new Map(),
            };
        }, () => undefined);
        await pause(5);
    }
    await waitUntil(() => heldAnswers.length > 0);
    expect(received).toEqual([0]);
    heldAnswers.forEach(send => send());
    await waitUntil(() => received.length > 1);
    await pause(50);
    expect(received).toEqual([0, 4]);
});

test("a response that never ends is closed, and its router is sent the next notice", async () => {
    let requests = 0;
    answer = socket => {
        requests++;
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        const timer = setInterval(() => socket.write("1\r\n \r\n"), 20);
        socket.on("close", () => clearInterval(timer));
    };
    const sender = createSender(createRouters(1));
    const send = () =>
        sender.send(
            () => ({
                sender: "leader",
                servers: [],
                otherLoads: new Map(),
                retryGrants: new Map(),
                slowdowns: new Map(),
            }),
            () => undefined,
        );
    send();
    await pause(100);
    send();
    await pause(700);
    expect(requests).toBe(2);
    expect(sockets.size).toBe(1);
});

test("a notice and a report keep their contents", () => {
    const notice = {
        sender: "leader",
        servers: [{ id: "a", bornAt: 1, layers: { first: 0, last: 3 }, lost: false }],
        otherLoads: new Map([["a", { requests: 2, tokens: 1_800 }]]),
        retryGrants: new Map([["pool", 1.5]]),
        slowdowns: new Map([["a", { factor: 12, ageMilliseconds: 300 }]]),
        customerLimits: new Map([["pool", new Map([["haddow", 0.42], ["", 0.9]])]]),
    };
    expect(decodeNotice(encodeNotice(notice).toString())).toEqual(notice);
    const usages = new Map([["pool", { requests: 9, retries: 3, granted: 2 }]]);
    const customerDemands = new Map([["pool", new Map([["haddow", { asked: 1_800, taken: 900 }]])]]);
    const retryUsage = { usages, recordedMilliseconds: 4_000 };
    const report = { loads: notice.otherLoads, retryUsage, customerDemands };
    expect(decodeReport(encodeReport(report).toString())).toEqual(report);
});

test("work left is kept in whole milliseconds, and may be missing", () => {
    const report = {
        loads: new Map(),
        work: new Map([["a", 250.4]]),
        retryUsage: { usages: new Map(), recordedMilliseconds: 0 },
    };
    expect(decodeReport(encodeReport(report).toString()).work).toEqual(new Map([["a", 250]]));
    expect(decodeReport(emptyReport).work).toBeUndefined();
    expect(() => decodeReport('{"loads":{},"retryUsages":{},"work":{"a":"much"}}')).toThrow();
});

test("a notice without grants, slow engines or limits is accepted, as routers of an earlier version send it", () => {
    const text = JSON.stringify({ sender: "leader", servers: [], otherLoads: {} });
    expect(decodeNotice(text).retryGrants.size).toBe(0);
    expect(decodeNotice(text).slowdowns.size).toBe(0);
    expect(decodeNotice(text).customerLimits).toBeUndefined();
    expect(decodeReport('{"loads":{},"retryUsages":{}}').customerDemands).toBeUndefined();
});

test("odd statements on slow engines are left out, and the rest of the notice holds", () => {
    const slowdowns = { a: [0.5, 10], b: [3, -1], c: "slow", d: [null, 0], e: [2, 100] };
    const notice = { sender: "leader", servers: [], otherLoads: {} };
    expect([...decodeNotice(JSON.stringify({ ...notice, slowdowns })).slowdowns.keys()]).toEqual(["e"]);
    expect(decodeNotice(JSON.stringify({ ...notice, slowdowns: [7] })).slowdowns.size).toBe(0);
});

test.each(["{}", "[]", "not json", '{"loads":{"a":[1]},"retryUsages":{}}'])(
    "the malformed report %p is rejected",
    text => {
        expect(() => decodeReport(text)).toThrow();
    },
);
