import { afterEach, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { SilentLogger } from "../../../src/common/logger.js";
import { PeerClient } from "../../../src/connection/gateway/peer-client.js";
import { HttpLeadershipHandover } from "../../../src/connection/gateway/peer-leadership.js";
import { encodeReport, HttpNoticeSender } from "../../../src/connection/gateway/peer-notices.js";
import { encodeSnapshot, HttpSnapshotSource } from "../../../src/connection/gateway/peer-snapshots.js";
import type { SocketAddress } from "../../../src/domain/gateway/server-entry.js";
import { failures } from "../../support/failures.js";
import { closes, ConnectionEnd, cutResponses, resets, sendRaw } from "../../support/raw-responses.js";
import { at } from "../../support/store-positions.js";

const ends = [...closes, ...resets];
const unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const client = new PeerClient(failures);
let server: Server;
let router: SocketAddress;
let respond: (socket: Socket) => void;

beforeEach(async () => {
    jest.useRealTimers();
    server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    router = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
});
afterEach(() => new Promise(resolve => server.close(resolve)));

/** Bodies that are cut anywhere without framing, and responses that are cut in their framing. */
const cutMessages = (body: string, status?: string) => [
    ...Object.values(cutResponses("Content-Type: application/json\r\n", body, status)),
    ...Array.from({ length: body.length }, (_value, length) => unframedHead + body.slice(0, length)),
];

describe.each(ends)("on a connection that is %s", end => {
    test("a snapshot of the store that is cut anywhere is not taken", async () => {
        const snapshot = encodeSnapshot({
            position: at(1_234),
            items: [{ key: "/a", value: Buffer.from("value"), position: at(12) }],
        });
        for (const bytes of cutMessages(snapshot.toString())) {
            respond = socket => sendRaw(socket, bytes, end);
            await expect(new HttpSnapshotSource(client).readSnapshot(router, at(0))).rejects.toMatchObject({
                code: expect.stringMatching(/^(peer-unreachable|invalid-peer-message)$/) as unknown as string,
            });
        }
    });

    test("a report that is cut anywhere does not reach the leader, and a whole one does", async () => {
        const report = encodeReport({
            loads: new Map([["a", { requests: 2, tokens: 1_800 }]]),
            retryUsage: {
                usages: new Map([["pool", { requests: 9, retries: 3, granted: 1 }]]),
                recordedMilliseconds: 4_000,
            },
        }).toString();
        const messages = cutMessages(report);
        let answered = 0;
        respond = socket => {
            const bytes = messages[answered++]
                ?? `HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`;
            sendRaw(socket, bytes, answered > messages.length ? ConnectionEnd.closed : end);
        };
        const sender = new HttpNoticeSender(() => [router], client, failures, new SilentLogger());
        const answersAtReports: number[] = [];
        const createNotice = () => ({
            sender: "x",
            servers: [],
            otherLoads: new Map(),
            retryGrants: new Map(),
            slowdowns: new Map(),
        });
        while (answersAtReports.length === 0) {
            sender.send(createNotice, () => answersAtReports.push(answered));
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(answersAtReports).toEqual([messages.length + 1]);
    });

    test("an acceptance of the leadership whose head is cut does not count", async () => {
        const handover = new HttpLeadershipHandover(() => [router], client, new SilentLogger());
        const acceptance = "HTTP/1.1 204 No Content\r\nX-Name: value\r\n\r\n";
        for (let length = 1; length < acceptance.length; length++) {
            respond = socket => sendRaw(socket, acceptance.slice(0, length), end);
            expect(await handover.offer({ lease: { id: 1, era: 0 }, holder: "a", renewedMillisecondsAgo: 0 })).toBe(
                false,
            );
        }
    });
});

test("a message without framing that has not ended by its timeout fails", async () => {
    respond = socket => socket.write(`${unframedHead}{"part":1}`);
    const call = { method: "GET", path: "/", timeoutMilliseconds: 100 } as const;
    await expect(client.send(router, call)).rejects.toMatchObject({ code: "peer-unreachable" });
});
