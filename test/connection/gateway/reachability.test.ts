import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server } from "node:net";
import { ConnectReachabilityCheck } from "../../../src/connection/gateway/reachability.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

let server: Server;
let accepted: number;
const port = () => (server.address() as AddressInfo).port;
const entry = (id: string, atPort: number) => serverEntry(id, { address: { host: "127.0.0.1", port: atPort } });

beforeEach(async () => {
    jest.useRealTimers();
    accepted = 0;
    server = createServer(socket => {
        accepted++;
        socket.destroy();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => new Promise(resolve => server.close(resolve)));

test("a server that takes connections is reachable, one that refuses them is not", async () => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const closedPort = (closed.address() as AddressInfo).port;
    await new Promise(resolve => closed.close(resolve));
    const unreachable = await new ConnectReachabilityCheck().findUnreachable([
        entry("alive", port()),
        entry("dead", closedPort),
    ]);
    expect(unreachable.map(({ id }) => id)).toEqual(["dead"]);
});

test("an answer that waits while this process is busy still counts", async () => {
    const result = new ConnectReachabilityCheck().findUnreachable([entry("alive", port())]);
    const busyUntil = performance.now() + 60;
    while (performance.now() < busyUntil) {
        // Keeps the loop from taking in anything until the check's time is over.
    }
    expect(await result).toEqual([]);
});

test("one check serves all that ask within a short time", async () => {
    const check = new ConnectReachabilityCheck();
    await Promise.all([check.findUnreachable([entry("a", port())]), check.findUnreachable([entry("a", port())])]);
    await check.findUnreachable([entry("a", port())]);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(accepted).toBe(1);
});
