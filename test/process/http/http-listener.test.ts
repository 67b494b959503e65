import { beforeEach, expect, jest, test } from "@jest/globals";
import { once } from "node:events";
import { connect } from "node:net";
import { HttpListener } from "../../../src/process/http/http-listener.js";

beforeEach(() => void jest.useRealTimers());

async function responseTo(text: string): Promise<string> {
    const listener = new HttpListener({
        name: "test",
        host: "127.0.0.1",
        port: 0,
        headersTimeoutMilliseconds: 100,
        requestTimeoutMilliseconds: 200,
        maximumConnections: 10,
    }, (_request, response) => void response.end("answered"));
    await listener.start();
    const socket = connect(Number(new URL(listener.address).port), "127.0.0.1");
    socket.write(text);
    const [data] = await once(socket, "data") as [Buffer];
    socket.destroy();
    await listener.stop();
    return data.toString();
}

test("unfinished headers are answered with 408, request-timeout and outcome not-run", async () => {
    const answer = await responseTo("GET / HTTP/1.1\r\nHost: x\r\nX-Slow:");
    expect(answer).toMatch(/^HTTP\/1\.1 408 [^]*"code":"request-timeout","outcome":"not-run"/);
});

test("invalid HTTP is answered with 400 and bad-request", async () => {
    expect(await responseTo("?\r\n\r\n")).toMatch(/^HTTP\/1\.1 400 [^]*"code":"bad-request"/);
});
