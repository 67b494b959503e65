/** What the store's client makes of the era in the store's answers. */
import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { StoreClient } from "../../platform/store-client.js";
import type { StoreEra } from "../../src/process/gateway/store-era.js";
import { failures } from "../support/failures.js";
import { at, createStoreEra } from "../support/store-positions.js";

const value = Buffer.from("v");
const item = { key: "k", value: "dg==", revision: 4 };
const bodies: Record<string, unknown> = {
    "kv-range": { items: [item], has_more: false, store_revision: 7 },
    "kv-watch": { events: [item], store_revision: 7 },
    "kv-txn": { revision: 8 },
    "kv-lease": { lease: 100, ttl_ms: 1_000 },
};

let calls: string[];
/** Values of the header in the next answers; the last one stays. */
let stated: (string | undefined)[];
let status: number;
let server: Server;
let era: StoreEra;
let client: StoreClient;

async function respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = request.url!.split(/[/?]/)[1]!;
    if (request.url!.includes("connection-check")) {
        response.end();
        return;
    }
    calls.push(call);
    const header = stated.length > 1 ? stated.shift() : stated[0];
    if (header !== undefined) {
        response.setHeader("Store-Era", header);
    }
    request.resume();
    await new Promise(resolve => request.on("end", resolve));
    response.writeHead(status).end(JSON.stringify(bodies[call] ?? {}));
}

beforeEach(async () => {
    jest.useRealTimers();
    calls = [];
    stated = ["3"];
    status = 200;
    server = createServer((request, response) => void respond(request, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    era = createStoreEra();
    client = new StoreClient({ host: "127.0.0.1", port: (server.address() as AddressInfo).port }, failures, era);
});
afterEach(async () => {
    client.close();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

const commitUnder = (lease: { id: number; era: number; }) =>
    client.commit({ conditions: [], writes: [{ key: "k", value, lease }] });
const commitIf = (revision: number, ofEra: number) =>
    client.commit({ conditions: [{ key: "k", position: at(revision, ofEra) }], writes: [{ key: "k", value }] });

test("reads, changes and leases are of the era that their answer states", async () => {
    expect(await client.readPage("")).toMatchObject({ position: at(7, 3), items: [{ position: at(4, 3) }] });
    expect(await client.readChanges("", at(5, 3), 10)).toMatchObject({
        position: at(7, 3),
        changes: [{ position: at(4, 3) }],
    });
    expect(await client.grantLease(1_000)).toEqual({ id: 100, era: 3 });
});

test.each(["", "three", "-4", "4.5", "1e3", "4, 4", "9".repeat(30)])(
    "an answer whose era is %j states none",
    async header => {
        await client.readPage("");
        stated = [header];
        expect((await client.readPage("")).position).toEqual(at(7, 3));
        expect(era.current).toBe(3);
    },
);

test.each([503, 429, 410, 404, 412])("an answer with status %d shows a new era, too", async errorStatus => {
    await client.readPage("");
    stated = ["4"];
    status = errorStatus;
    await client.readChanges("", at(5, 3), 10).catch(() => undefined);
    expect(era.current).toBe(4);
});

test("an answer of an earlier era is a failure, which a write may have survived", async () => {
    await client.readPage("");
    stated = ["2"];
    await expect(client.readPage("")).rejects.toMatchObject({
        code: "platform-unavailable",
        mayHaveTakenEffect: false,
    });
    await expect(client.grantLease(1)).rejects.toMatchObject({
        code: "platform-unavailable",
        mayHaveTakenEffect: true,
    });
    expect(era.current).toBe(3);
});

// Its ID may belong to another router by now.
test("a lease of an earlier era is neither renewed nor revoked, and nothing is written under it", async () => {
    await client.readPage("");
    const lease = { id: 100, era: 2 };
    await expect(client.renewLease(lease)).rejects.toMatchObject({ code: "lease-lost" });
    await client.revokeLease(lease);
    expect(await commitUnder(lease)).toBe(false);
    expect(calls).toEqual(["kv-range"]);
});

// A revision that is given out again may match by chance.
test("a condition of an earlier era is not met", async () => {
    await client.readPage("");
    expect(await commitIf(4, 2)).toBe(false);
    expect(calls).toEqual(["kv-range"]);
    expect(await commitIf(4, 3)).toBe(true);
});

test("a write that a store of the next era has carried out may have taken effect under another's lease", async () => {
    await client.readPage("");
    stated = ["4"];
    const outdated = { code: "platform-unavailable", mayHaveTakenEffect: true };
    await expect(commitUnder({ id: 100, era: 3 })).rejects.toMatchObject(outdated);
    stated = ["5"];
    await expect(commitIf(4, 4)).rejects.toMatchObject(outdated);
});

test("a renewal that a store of the next era has answered counts as lost", async () => {
    await client.readPage("");
    stated = ["4"];
    await expect(client.renewLease({ id: 100, era: 3 })).rejects.toMatchObject({ code: "lease-lost" });
});

test("a waiting poll ends as soon as another answer shows a new era", async () => {
    await client.readPage("");
    let waiting = true;
    server.removeAllListeners("request");
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        if (!request.url!.startsWith("/kv-watch")) {
            void respond(request, response);
        }
    });
    const poll = client.readChanges("", at(7, 3), 20_000).catch((error: unknown) => {
        waiting = false;
        return error;
    });
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(waiting).toBe(true);
    stated = ["4"];
    await client.grantLease(1_000);
    expect(await poll).toMatchObject({ code: "platform-connection-stale" });
});
