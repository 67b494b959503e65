import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { Exchange } from "../../src/connection/gateway/exchange.js";
import { serverEntry } from "../process/gateway/fixtures.js";

const servers: Server[] = [];
const sockets: Socket[] = [];

beforeEach(() => void jest.useRealTimers());
afterEach(async () => {
    const closed = Promise.all(servers.splice(0).map(server => new Promise(resolve => server.close(resolve))));
    sockets.splice(0).forEach(socket => socket.destroy());
    await closed;
});

/** How an exchange with a server of raw bytes ends. */
async function outcomeOf(behave: (socket: Socket) => void): Promise<string> {
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => behave(socket));
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return new Promise(resolve => {
        let body = "";
        const entry = serverEntry("raw", { address: { host: "127.0.0.1", port } });
        new Exchange(
            entry,
            { method: "GET", path: "/", headers: ["Host", "x", "Connection", "close"], body: undefined },
            500,
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

test("an answer with a length is complete at its length, whatever bytes follow", async () => {
    expect(await outcomeOf(socket => socket.end(`${head}Content-Length: 4\r\n\r\nfour`))).toBe("ended four");
    const extra = `${head}Content-Length: 4\r\n\r\nfour${head}Content-Length: 5\r\n\r\nother`;
    expect(await outcomeOf(socket => socket.end(extra))).toBe("ended four");
});

test("an answer without a length is not taken for complete, however its connection ends", async () => {
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

test("an answer that ends before its length is not complete", async () => {
    const outcome = await outcomeOf(socket => socket.end(`${head}Content-Length: 10\r\n\r\nfour`));
    expect(outcome).toBe("failed broken written=true");
});

test("bytes that are no answer fail the exchange", async () => {
    expect(await outcomeOf(socket => socket.end("garbage\r\n\r\n"))).toBe("failed broken written=true");
});
