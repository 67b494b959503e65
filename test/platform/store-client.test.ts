import { expect, jest, test } from "@jest/globals";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { StoreClient } from "../../platform/store-client.js";

async function startServer(server: Server): Promise<StoreClient> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return new StoreClient({ host: "127.0.0.1", port: (server.address() as AddressInfo).port });
}

test("a response of the store that never ends is closed and counts as unavailable", async () => {
    jest.useRealTimers();
    let bytes = 0;
    const block = Buffer.alloc(1_000_000, " ");
    const server = createServer((_request, response) => {
        const send = () => {
            while (!response.destroyed && response.write(block)) {
                bytes += block.length;
            }
            bytes += block.length;
        };
        response.on("drain", send);
        send();
    });
    const client = await startServer(server);
    await expect(client.readPage("/a/")).rejects.toMatchObject({ code: "platform-unavailable" });
    expect(bytes).toBeLessThan(40_000_000);
    client.close();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});
