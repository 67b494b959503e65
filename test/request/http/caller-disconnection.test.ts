import { expect, jest, test } from "@jest/globals";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { watchDisconnection } from "../../../src/request/http/caller-disconnection.js";

const server = createServer();

test("a caller that leaves without reading is noticed although its response cannot be written", async () => {
    jest.useRealTimers();
    let responseClosed = false;
    const disconnected = new Promise<void>(resolve => {
        server.on("request", (request, response) => {
            watchDisconnection(request, response).addEventListener("abort", () => resolve());
            response.on("close", () => {
                responseClosed = true;
            });
            response.end(Buffer.alloc(30_000_000));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.pause();
    socket.end("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    await disconnected;
    expect(responseClosed).toBe(false);
    socket.destroy();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});
