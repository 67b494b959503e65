/** Calls other routers: connect-es over one HTTP/2 connection for each of them. */
import { type Client, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import type { SecureClientSessionOptions } from "node:http2";
import { monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { LedgerOperation, LedgerResult } from "../../domain/booking-ledger.js";
import type { StoredVersion } from "../../domain/version-exchange.js";
import { PeerUnreachableError } from "../../errors/index.js";
import { PeerService } from "../../generated/pomelostall/peer/v1/peer_pb.js";
import type { FleetState, GossipMessage, PeerTarget, PeerTransport } from "../../process/membership/index.js";
import type { CertificateSource } from "./certificates.js";
import { decodeGossip, decodeState, decodeStored, encodeGossip, encodeState } from "./codec.js";
import { PeerSessions } from "./peer-sessions.js";

/** How long an idle connection to a router that is not probed is kept. */
const idleMilliseconds = 10_000;
const sweepMilliseconds = 5_000;

interface PeerLink {
    readonly client: Client<typeof PeerService>;
    readonly sessions: PeerSessions;
    lastUsed: number;
    calls: number;
}

export class PeerClient implements PeerTransport, ManagedComponent {
    readonly name = "peer client";
    private readonly links = new Map<string, PeerLink>();
    private kept: ReadonlySet<string> = new Set();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeListener: () => void = () => undefined;

    constructor(private readonly certificates?: CertificateSource) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => this.closeIdle(), sweepMilliseconds);
        this.removeListener = this.certificates?.onChange(() => this.replaceAll()) ?? this.removeListener;
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.removeListener();
        for (const address of [...this.links.keys()]) {
            this.forget(address);
        }
    }

    async gossip(address: string, message: GossipMessage, timeoutMilliseconds: number): Promise<GossipMessage> {
        const request = encodeGossip(message);
        return decodeGossip(
            await this.call(address, client => client.gossip(request, { timeoutMs: timeoutMilliseconds })),
        );
    }

    async probeIndirectly(address: string, target: PeerTarget, timeoutMilliseconds: number): Promise<boolean> {
        const request = { targetId: target.id, targetAddress: target.address };
        const options = { timeoutMs: timeoutMilliseconds };
        return (await this.call(address, client => client.probeIndirectly(request, options))).reached;
    }

    async exchange(address: string, state: FleetState, timeoutMilliseconds: number): Promise<FleetState> {
        const request = encodeState(state);
        return decodeState(
            await this.call(address, client => client.exchange(request, { timeoutMs: timeoutMilliseconds })),
        );
    }

    async readVersion(
        address: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined> {
        const options = { timeoutMs: timeoutMilliseconds };
        const reply = await this.call(address, client => client.readVersion({ minimumVersion }, options));
        return reply.stored === undefined ? undefined : decodeStored(reply.stored);
    }

    /** Rejects with a PeerUnreachableError; the operation may still take effect. */
    async submitBooking(
        address: string,
        operation: LedgerOperation,
        timeoutMilliseconds: number,
    ): Promise<LedgerResult> {
        const request = { operationJson: JSON.stringify(operation), timeoutMilliseconds };
        const options = { timeoutMs: timeoutMilliseconds };
        const reply = await this.call(address, client => client.submitBooking(request, options));
        return JSON.parse(reply.resultJson) as LedgerResult;
    }

    forget(address: string): void {
        const link = this.links.get(address);
        this.links.delete(address);
        // Not from within a callback of the session itself, which Node 20 does not always survive.
        setImmediate(() => link?.sessions.abort());
    }

    keep(addresses: ReadonlySet<string>): void {
        this.kept = addresses;
    }

    private async call<Reply>(
        address: string,
        action: (client: Client<typeof PeerService>) => Promise<Reply>,
    ): Promise<Reply> {
        const link = this.link(address);
        link.calls++;
        link.lastUsed = monotonicNow();
        try {
            return await action(link.client);
        }
        catch (error) {
            throw new PeerUnreachableError(address, error);
        }
        finally {
            link.calls--;
        }
    }

    private link(address: string): PeerLink {
        const known = this.links.get(address);
        if (known !== undefined) {
            return known;
        }
        const sessions = new PeerSessions(address, {}, this.sessionOptions());
        const transport = createConnectTransport({
            httpVersion: "2",
            baseUrl: address,
            sessionManager: sessions,
            acceptCompression: [],
        });
        const link = { client: createClient(PeerService, transport), sessions, lastUsed: monotonicNow(), calls: 0 };
        this.links.set(address, link);
        return link;
    }

    /** Peers have changing IP numbers, so what proves them is the authority alone, which signs routers only. */
    private sessionOptions(): SecureClientSessionOptions {
        return this.certificates === undefined
            ? {}
            : { ...this.certificates.current, checkServerIdentity: () => undefined };
    }

    private closeIdle(): void {
        const now = monotonicNow();
        for (const [address, link] of this.links) {
            if (!this.kept.has(address) && link.calls === 0 && now - link.lastUsed > idleMilliseconds) {
                this.forget(address);
            }
        }
    }

    /** New calls use the new certificates; those under way end on the old connections. */
    private replaceAll(): void {
        for (const [address, link] of [...this.links]) {
            this.links.delete(address);
            setTimeout(() => link.sessions.abort(), idleMilliseconds);
        }
    }
}
