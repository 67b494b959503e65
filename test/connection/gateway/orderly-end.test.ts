import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { endsInOrder } from "../../../src/connection/gateway/orderly-end.js";
import { boundary } from "../../support/failures.js";
import { ConnectionEnd, sendRaw } from "../../support/raw-responses.js";

let server: Server;
let behave: (socket: Socket) => void;

beforeEach(async () => {
    jest.useRealTimers();
    server = createServer(socket => {
        socket.on("error", () => undefined);
        behave(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
});
afterEach(() => new Promise(resolve => server.close(resolve)));

/** Reads in a turn of the event loop in which both the data and the end of the connection have arrived. */
async function observe(behavior: (socket: Socket) => void, use: (socket: Socket) => void): Promise<boolean> {
    behave = behavior;
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    const result = endsInOrder(socket, boundary);
    socket.pause();
    setTimeout(() => use(socket), 60);
    return result;
}

test.each([
    [ConnectionEnd.closed, true],
    [ConnectionEnd.closedLater, true],
    [ConnectionEnd.reset, false],
    [ConnectionEnd.resetLater, false],
])("a connection that is %s after data ends in order: %p", async (end, inOrder) => {
    expect(await observe(socket => sendRaw(socket, "data", end), socket => socket.resume())).toBe(inOrder);
});

test("a connection that this side closes does not end in order", async () => {
    expect(await observe(socket => socket.write("data"), socket => socket.destroy())).toBe(false);
});

test("the other side receives no bytes and no earlier end from the check", async () => {
    const received: Buffer[] = [];
    let endedAfterData = false;
    const ended = new Promise<void>(resolve => {
        behave = socket => {
            socket.on("data", (data: Buffer) => received.push(data));
            socket.on("end", () => {
                endedAfterData = true;
                resolve();
            });
            socket.end("data");
        };
    });
    const socket = connect({ port: (server.address() as AddressInfo).port, host: "127.0.0.1", allowHalfOpen: true });
    const result = endsInOrder(socket, boundary);
    socket.resume();
    expect(await result).toBe(true);
    expect(endedAfterData).toBe(false);
    socket.end("rest");
    await ended;
    expect(Buffer.concat(received).toString()).toBe("rest");
});
