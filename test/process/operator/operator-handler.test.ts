import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { hashKey } from "../../../src/common/credentials.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { NotFoundError } from "../../../src/errors/index.js";
import { OperatorHandler } from "../../../src/process/operator/operator-handler.js";

let server: Server;

async function start(credentialHash: string | undefined): Promise<string> {
    const handler = new OperatorHandler(
        [
            { method: "GET", path: "/operator/echo", handle: async call => ({ name: call.query.get("name") }) },
            { method: "POST", path: "/operator/echo", handle: async call => call.body },
            {
                method: "GET",
                path: "/operator/none",
                handle: () => Promise.reject(new NotFoundError("There is nothing.")),
            },
        ],
        credentialHash,
        new SilentLogger(),
    );
    server = createServer(handler.listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}/operator`;
}

beforeEach(() => void jest.useRealTimers());
afterEach(async () => {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

describe("OperatorHandler", () => {
    test("answers calls from loopback without a credential if none is configured", async () => {
        const address = await start(undefined);
        expect(await (await fetch(`${address}/echo?name=perth`)).json()).toEqual({ name: "perth" });
        const posted = await fetch(`${address}/echo`, { method: "POST", body: `{"drain":true}` });
        expect(await posted.json()).toEqual({ drain: true });
    });

    test("requires the credential if one is configured", async () => {
        const address = await start(hashKey("secret"));
        expect((await fetch(`${address}/echo`)).status).toBe(401);
        expect((await fetch(`${address}/echo`, { headers: { authorization: "Bearer wrong" } })).status).toBe(401);
        expect((await fetch(`${address}/echo`, { headers: { authorization: "Bearer secret" } })).status).toBe(200);
    });

    test("answers errors with their status, code and hint, and invalid calls with 400", async () => {
        const address = await start(undefined);
        const missing = await fetch(`${address}/none`);
        expect([missing.status, await missing.json()]).toEqual([404, {
            error: { code: "not-found", message: "There is nothing.", hint: expect.any(String) },
        }]);
        expect((await fetch(`${address}/unknown`)).status).toBe(400);
        expect((await fetch(`${address}/echo`, { method: "POST", body: "{" })).status).toBe(400);
    });
});
