import { afterEach, beforeAll, beforeEach, describe, expect, jest, test } from "@jest/globals";
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect as connectHttp2 } from "node:http2";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { generate } from "selfsigned";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import {
    decodeFleetState,
    decodeGossip,
    encodeFleetState,
    encodeGossip,
} from "../../../src/connection/router/codec.js";
import { CertificateSource, PeerClient, PeerLedgerClient, PeerServer } from "../../../src/connection/router/index.js";
import { RouterState } from "../../../src/domain/fleet.js";
import { CertificateError, PeerPlaintextError, PeerUnreachableError } from "../../../src/errors/index.js";
import { type Delta, Membership, PeerVersions } from "../../../src/process/membership/index.js";
import { FixedVmList } from "../../support/routers.js";

const loopback = "127.0.0.1";
const callMilliseconds = 10_000;
let directory = "";
let cleanups: (() => Promise<void>)[] = [];

interface Authority {
    readonly key: string;
    readonly cert: string;
}

async function createAuthority(): Promise<Authority> {
    const pems = await generate([{ name: "commonName", value: "fleet" }], {
        keySize: 2048,
        extensions: [{ name: "basicConstraints", cA: true }],
    });
    return { key: pems.private, cert: pems.cert };
}

let authority: Authority;
let otherAuthority: Authority;

beforeAll(async () => {
    jest.useRealTimers();
    [authority, otherAuthority] = await Promise.all([createAuthority(), createAuthority()]);
});

beforeEach(() => {
    jest.useRealTimers();
    directory = mkdtempSync(join(tmpdir(), "pomelostall-peers-"));
    cleanups = [];
});

afterEach(async () => {
    for (const stop of cleanups.reverse()) {
        await stop();
    }
    rmSync(directory, { recursive: true });
});

/** Issues a certificate signed by the given authority, and returns the paths of its files. */
async function issueCertificate(name: string, signer: Authority = authority) {
    const pems = await generate([{ name: "commonName", value: name }], { keySize: 2048, ca: signer });
    const files = {
        certificateFile: join(directory, `${name}.pem`),
        keyFile: join(directory, `${name}.key`),
        authorityFile: join(directory, `${name}-ca.pem`),
    };
    writeFileSync(files.certificateFile, pems.cert);
    writeFileSync(files.keyFile, pems.private);
    writeFileSync(files.authorityFile, signer.cert);
    return files;
}

async function startRouter(id: string, seeds: readonly string[], certificates?: CertificateSource) {
    const server = new PeerServer({ host: loopback, port: 0, certificates });
    const client = new PeerClient(certificates);
    await server.start();
    await client.start();
    const location = { region: "perth", availabilityZone: "perth-1" };
    const membership = new Membership(
        { id, address: server.address, location, seeds, settings: { probePeriodMilliseconds: 100 } },
        {
            transport: client,
            vmList: new FixedVmList(),
            random: new SeededRandom(id.length),
            logger: new SilentLogger(),
            metrics: new SilentMetrics(),
        },
    );
    server.setPeerHandler(membership);
    await membership.start();
    cleanups.push(async () => {
        membership.stopWithoutLeaving();
        await client.stop();
        await server.stop();
    });
    return { id, server, client, membership, versions: new PeerVersions(membership, client) };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
}

function aliveCount(membership: Membership): number {
    return membership.members().filter(member => member.state === RouterState.alive).length;
}

describe("connections between routers", () => {
    test("a ledger operation reaches only a known router that has a booking handler", async () => {
        const first = await startRouter("a", []);
        const second = await startRouter("b", [first.server.address]);
        await waitUntil(() => aliveCount(second.membership) === 2);
        const ledger = new PeerLedgerClient(second.membership, second.client);
        const lookup = { type: "lookup", key: "00" } as const;
        await expect(ledger.submit("a", lookup, callMilliseconds)).rejects.toBeInstanceOf(PeerUnreachableError);
        await expect(ledger.submit("unknown", lookup, callMilliseconds)).rejects.toBeInstanceOf(PeerUnreachableError);
        const received: unknown[] = [];
        first.server.setBookingHandler(async operation => {
            received.push(operation);
            return { type: "found", record: undefined };
        });
        expect(await ledger.submit("a", lookup, callMilliseconds)).toEqual({ type: "found" });
        expect(received).toEqual([lookup]);
    });

    test.each([true, false])("three routers join, read a version and detect a stopped router (TLS: %p)", async tls => {
        const sources = await Promise.all(
            ["a", "b", "c"].map(async name =>
                tls ? new CertificateSource(await issueCertificate(name), new SilentLogger()) : undefined
            ),
        );
        const first = await startRouter("a", [], sources[0]);
        const second = await startRouter("b", [first.server.address], sources[1]);
        const third = await startRouter("c", [first.server.address], sources[2]);
        const all = [first, second, third];
        await waitUntil(() => all.every(router => aliveCount(router.membership) === 3));
        const record = { version: 3, pushId: "p", parent: 2, author: "me", acceptedAt: "2026-01-01T00:00:00Z" };
        const compressedSheet = new Uint8Array([1, 2, 3]);
        third.membership.provideVersions({ highestVersion: 3, readStored: () => ({ record, compressedSheet }) });
        third.versions.announce(3);
        await waitUntil(() => first.versions.highestAnnounced()?.version === 3);
        const stored = await first.versions.readVersion("c", 3, 1_000);
        expect(stored).toMatchObject({ record });
        expect([...stored!.compressedSheet]).toEqual([1, 2, 3]);
        expect((await second.versions.read(1_000)).map(entry => [entry.routerId, entry.version]).sort())
            .toEqual([["a", 0], ["b", 0], ["c", 3]]);
        first.membership.reportDemand("haddow", 300);
        await waitUntil(() => Math.abs(second.membership.fleetDemand("haddow") - 300) < 30);
        third.membership.stopWithoutLeaving();
        await third.client.stop();
        await third.server.stop();
        cleanups.pop();
        await waitUntil(() => [first, second].every(router => aliveCount(router.membership) === 2));
    });

    test("clients with an untrusted certificate, or with none, receive no data", async () => {
        const trustedSource = new CertificateSource(await issueCertificate("known"), new SilentLogger());
        const untrustedSource = new CertificateSource(
            await issueCertificate("unknown", otherAuthority),
            new SilentLogger(),
        );
        const router = await startRouter("known", [], trustedSource);
        const message = router.membership.view.createMessage([]);
        const untrustedClients = [
            new PeerClient(untrustedSource),
            new PeerClient(
                new CertificateSource(
                    {
                        ...await issueCertificate("mixed", otherAuthority),
                        authorityFile: join(directory, "known-ca.pem"),
                    },
                    new SilentLogger(),
                ),
            ),
        ];
        for (const untrustedClient of untrustedClients) {
            await expect(untrustedClient.gossip(router.server.address, message, 1_000)).rejects.toThrow(
                PeerUnreachableError,
            );
            await untrustedClient.stop();
        }
        const clientWithoutCertificate = connectHttp2(router.server.address, { rejectUnauthorized: false });
        clientWithoutCertificate.on("error", () => undefined);
        const stream = clientWithoutCertificate.request({
            ":path": "/pomelostall.peer.v1.PeerService/Exchange",
            ":method": "POST",
        });
        let bytes = 0;
        stream.on("data", (chunk: Buffer) => bytes += chunk.length);
        const failed = new Promise<Error>(resolve => stream.on("error", resolve));
        stream.end();
        expect((await failed).message).toMatch(/certificate required/);
        clientWithoutCertificate.destroy();
        expect(bytes).toBe(0);
        expect(router.membership.members()).toHaveLength(1);
    });

    test("certificates of a new authority take effect without a restart, and invalid files are ignored", async () => {
        const files = await issueCertificate("a");
        const source = new CertificateSource(files, new SilentLogger(), 20);
        await source.start();
        cleanups.push(() => source.stop());
        const router = await startRouter("a", [], source);
        const renewed = await issueCertificate("renewed", otherAuthority);
        const other = new PeerClient(new CertificateSource(renewed, new SilentLogger()));
        cleanups.push(() => other.stop());
        const message = router.membership.view.createMessage([]);
        await expect(other.gossip(router.server.address, message, 1_000)).rejects.toThrow(PeerUnreachableError);
        writeFileSync(files.keyFile, "half written");
        source.reload();
        expect(source.current.ca).toBe(authority.cert);
        copyFileSync(renewed.keyFile, files.keyFile);
        copyFileSync(renewed.certificateFile, files.certificateFile);
        copyFileSync(renewed.authorityFile, files.authorityFile);
        await waitUntil(() => source.current.ca === otherAuthority.cert);
        expect((await other.gossip(router.server.address, message, 1_000)).senderId).toBe("a");
    });

    test("plain text is rejected outside loopback, and missing certificate files throw a CertificateError", () => {
        expect(() => new PeerServer({ host: "0.0.0.0", port: 0 })).toThrow(PeerPlaintextError);
        const missing = join(directory, "missing.pem");
        const files = { certificateFile: missing, keyFile: missing, authorityFile: missing };
        expect(() => new CertificateSource(files, new SilentLogger())).toThrow(CertificateError);
    });

    test("gossip and fleet state are unchanged after encoding and decoding", () => {
        const location = { region: "r", availabilityZone: "z" };
        const deltas: Delta[] = [
            ...Object.values(RouterState).map(state => ({
                kind: "member" as const,
                member: { id: state, address: "x", location, incarnation: 9, state, configurationVersion: 4 },
            })),
            { kind: "notice", notice: { backendServer: "b", incarnation: 2 ** 40, signal: "failed" } },
            { kind: "notice", notice: { backendServer: "b", incarnation: 1, signal: "leaving" } },
            { kind: "version", announcement: { routerId: "a", version: 12 } },
        ];
        const demand = { epoch: 3, slice: 1, sliceBits: 2, keys: [5, 70, 16_000_000], values: [0, -12, 9_000] };
        const message = {
            senderId: "a",
            incarnation: 2,
            configurationVersion: 5,
            digest: 0xffffffff,
            deltas,
            demand,
            unknownSender: true,
        };
        expect(decodeGossip(encodeGossip(message))).toEqual(message);
        const members = deltas.flatMap(delta => delta.kind === "member" ? [delta.member] : []);
        const state = { members, notices: [], version: undefined };
        expect(decodeFleetState(encodeFleetState(state))).toEqual(state);
    });
});
