import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { Exchange } from "../../src/connection/gateway/exchange.js";
import { readResponse } from "../../src/connection/gateway/read-response.js";
import { serverEntry } from "../process/gateway/fixtures.js";

const servers: Server[] = [];
const sockets: Socket[] = [];

beforeEach(() => void jest.useRealTimers());
afterEach(async () => {
    const closed = Promise.all(servers.splice(0).map(server => new Promise(resolve => server.close(resolve))));
    sockets.splice(0).forEach(socket => socket.destroy());
    await closed;
});

const request = { method: "GET", path: "/", headers: () => ["Host", "x", "Connection", "close"], body: undefined };

/** Starts a TCP server on a free port of loopback. */
async function listen(handleConnection: (socket: Socket) => void): Promise<AddressInfo> {
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        handleConnection(socket);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server.address() as AddressInfo;
}

/** Runs an exchange with a TCP server that sends raw bytes, and describes how the exchange ended. */
async function outcomeOf(behave: (socket: Socket) => void): Promise<string> {
    const { port } = await listen(socket => socket.once("data", () => behave(socket)));
    return new Promise(resolve => {
        let body = "";
        const entry = serverEntry("raw", { address: { host: "127.0.0.1", port } });
        new Exchange(
            entry,
            request,
            { connectTimeoutMilliseconds: 500, deadline: performance.now() + 5_000, callerGone: undefined },
            {
                headReceived: () => undefined,
                chunkReceived: chunk => {
                    body += chunk.toString();
                },
                completed: () => resolve(`ended ${body}`),
                failed: error => resolve(`failed ${error.failure} written=${error.bytesWritten}`),
            },
        );
    });
}

const head = "HTTP/1.1 200 OK\r\n";

test("a response with Content-Length is complete at that length, and the bytes after it are ignored", async () => {
    expect(await outcomeOf(socket => socket.end(`${head}Content-Length: 4\r\n\r\nfour`))).toBe("ended four");
    const extra = `${head}Content-Length: 4\r\n\r\nfour${head}Content-Length: 5\r\n\r\nother`;
    expect(await outcomeOf(socket => socket.end(extra))).toBe("ended four");
});

test("a response delimited only by the end of its connection fails as broken, whether closed or reset", async () => {
    expect(await outcomeOf(socket => socket.end(`${head}\r\nwhole`))).toBe("failed broken written=true");
    const outcome = await outcomeOf(socket => {
        socket.write(`${head}\r\npart`, () => setTimeout(() => socket.resetAndDestroy(), 20));
    });
    expect(outcome).toBe("failed broken written=true");
    const atOnce = await outcomeOf(socket => {
        socket.write(`${head}\r\npart`);
        socket.resetAndDestroy();
    });
    expect(atOnce).toBe("failed broken written=true");
});

test("a response shorter than its Content-Length fails as broken", async () => {
    const outcome = await outcomeOf(socket => socket.end(`${head}Content-Length: 10\r\n\r\nfour`));
    expect(outcome).toBe("failed broken written=true");
});

test("bytes that are not an HTTP response fail the exchange", async () => {
    expect(await outcomeOf(socket => socket.end("garbage\r\n\r\n"))).toBe("failed broken written=true");
});

test.each([
    ["cancelled", AbortSignal.abort(), performance.now() + 5_000],
    ["expired", new AbortController().signal, performance.now() - 1],
])("no connection is opened for a caller whose request is %s", async (failure, callerGone, deadline) => {
    let connections = 0;
    const { port } = await listen(() => connections++);
    const entry = serverEntry("idle", { address: { host: "127.0.0.1", port } });
    const options = { connectTimeoutMilliseconds: 500, deadline, callerGone, maximumBytes: 100 };
    await expect(readResponse(entry, request, options)).rejects.toMatchObject({ failure, bytesWritten: false });
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(connections).toBe(0);
});

// The exception of the runtime ended the process, since it left a callback of the event loop.
test.each([
    ["a port out of range", { port: 99_999 }, {}],
    ["a header value with a line break", {}, { headers: () => ["X-Tenant", "a\nb"] }],
    ["a path with a control character", {}, { path: "/look/\f" }],
])("a request to a server with %s fails with nothing written, whether or not it serves a caller", async (
    _case,
    address,
    changes,
) => {
    let connections = 0;
    const { port } = await listen(() => connections++);
    const entry = serverEntry("odd", { address: { host: "127.0.0.1", port, ...address } });
    for (const callerGone of [new AbortController().signal, undefined]) {
        const deadline = performance.now() + 5_000;
        const options = { connectTimeoutMilliseconds: 500, deadline, callerGone, maximumBytes: 100 };
        const failure = { name: "ConnectionFailedError", failure: "unsendable", bytesWritten: false };
        await expect(readResponse(entry, { ...request, ...changes }, options)).rejects.toMatchObject(failure);
    }
    expect(connections).toBe(0);
});

test("an exchange reports that a request cannot be sent only after its constructor has returned", async () => {
    const { port } = await listen(() => undefined);
    let constructed = false;
    const reportedAfterwards = await new Promise(resolve => {
        new Exchange(
            serverEntry("odd", { address: { host: "127.0.0.1", port } }),
            { ...request, path: "/ /" },
            { connectTimeoutMilliseconds: 500, deadline: performance.now() + 5_000, callerGone: undefined },
            {
                headReceived: () => undefined,
                chunkReceived: () => undefined,
                completed: () => undefined,
                failed: () => resolve(constructed),
            },
        );
        constructed = true;
    });
    expect(reportedAfterwards).toBe(true);
});
