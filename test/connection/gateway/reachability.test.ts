import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server } from "node:net";
import { TcpReachabilityCheck } from "../../../src/connection/gateway/reachability.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

let server: Server;
let acceptedConnections: number;
const port = () => (server.address() as AddressInfo).port;
const entry = (id: string, atPort: number) => serverEntry(id, { address: { host: "127.0.0.1", port: atPort } });

beforeEach(async () => {
    jest.useRealTimers();
    acceptedConnections = 0;
    server = createServer(socket => {
        acceptedConnections++;
        socket.destroy();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => new Promise(resolve => server.close(resolve)));

test("a server that accepts connections is reachable, and one that refuses them is unreachable", async () => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const closedPort = (closed.address() as AddressInfo).port;
    await new Promise(resolve => closed.close(resolve));
    const unreachable = await new TcpReachabilityCheck().findUnreachable([
        entry("alive", port()),
        entry("dead", closedPort),
    ]);
    expect(unreachable.map(({ id }) => id)).toEqual(["dead"]);
});

test("a connection established while the event loop is blocked past the timeout counts as reachable", async () => {
    const result = new TcpReachabilityCheck().findUnreachable([entry("alive", port())]);
    const busyUntil = performance.now() + 60;
    while (performance.now() < busyUntil) {
        // Blocks the event loop until the check's timeout has passed.
    }
    expect(await result).toEqual([]);
});

test("checks of the same server within the cache lifetime share one connection", async () => {
    const check = new TcpReachabilityCheck();
    await Promise.all([check.findUnreachable([entry("a", port())]), check.findUnreachable([entry("a", port())])]);
    await check.findUnreachable([entry("a", port())]);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(acceptedConnections).toBe(1);
});
