/** RPC client for calls to other routers, built on connect-es; one HTTP/2 connection per router. */
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
import { decodeFleetState, decodeGossip, decodeStoredVersion, encodeFleetState, encodeGossip } from "./codec.js";
import { PeerSessionManager } from "./peer-session-manager.js";

/**
 * Idle connections are closed after this time unless their address is to be kept alive. Replaced connections have the
 * same time to finish their calls.
 */
const idleTimeoutMilliseconds = 10_000;
const idleCheckIntervalMilliseconds = 5_000;

interface PeerConnection {
    readonly client: Client<typeof PeerService>;
    readonly sessions: PeerSessionManager;
    lastUsedTime: number;
    callsInFlight: number;
}

export class PeerClient implements PeerTransport, ManagedComponent {
    readonly name = "peer client";
    private readonly connections = new Map<string, PeerConnection>();
    private keepAliveAddresses: ReadonlySet<string> = new Set();
    private timer: ReturnType<typeof setInterval> | undefined;
    private removeCertificateListener: () => void = () => undefined;

    constructor(private readonly certificates?: CertificateSource) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => this.closeIdleConnections(), idleCheckIntervalMilliseconds);
        this.removeCertificateListener = this.certificates?.onChange(() => this.replaceConnections())
            ?? this.removeCertificateListener;
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.removeCertificateListener();
        for (const address of [...this.connections.keys()]) {
            this.closeConnection(address);
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
        const request = encodeFleetState(state);
        return decodeFleetState(
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
        return reply.stored === undefined ? undefined : decodeStoredVersion(reply.stored);
    }

    /** Rejects with a PeerUnreachableError if the call fails; the peer may still have applied the operation. */
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

    closeConnection(address: string): void {
        const connection = this.connections.get(address);
        this.connections.delete(address);
        // Deferred, because Node 20 can crash when a session is destroyed within one of its own callbacks.
        setImmediate(() => connection?.sessions.abort());
    }

    keepConnectionsOpen(addresses: ReadonlySet<string>): void {
        this.keepAliveAddresses = addresses;
    }

    private async call<Reply>(
        address: string,
        action: (client: Client<typeof PeerService>) => Promise<Reply>,
    ): Promise<Reply> {
        const connection = this.getConnection(address);
        connection.callsInFlight++;
        connection.lastUsedTime = monotonicNow();
        try {
            return await action(connection.client);
        }
        catch (error) {
            throw new PeerUnreachableError(address, error);
        }
        finally {
            connection.callsInFlight--;
        }
    }

    private getConnection(address: string): PeerConnection {
        const existing = this.connections.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const sessions = new PeerSessionManager(address, {}, this.sessionOptions());
        const transport = createConnectTransport({
            httpVersion: "2",
            baseUrl: address,
            sessionManager: sessions,
            acceptCompression: [],
        });
        const connection = {
            client: createClient(PeerService, transport),
            sessions,
            lastUsedTime: monotonicNow(),
            callsInFlight: 0,
        };
        this.connections.set(address, connection);
        return connection;
    }

    /**
     * The host name is not checked, because the IP addresses of peers change. A certificate of the configured authority
     * is sufficient, since that authority signs certificates for routers only.
     */
    private sessionOptions(): SecureClientSessionOptions {
        return this.certificates === undefined
            ? {}
            : { ...this.certificates.current, checkServerIdentity: () => undefined };
    }

    private closeIdleConnections(): void {
        const now = monotonicNow();
        for (const [address, connection] of this.connections) {
            if (
                !this.keepAliveAddresses.has(address) && connection.callsInFlight === 0
                && now - connection.lastUsedTime > idleTimeoutMilliseconds
            ) {
                this.closeConnection(address);
            }
        }
    }

    /** New calls connect with the new certificates; calls in flight finish on the old connections. */
    private replaceConnections(): void {
        for (const [address, connection] of [...this.connections]) {
            this.connections.delete(address);
            setTimeout(() => connection.sessions.abort(), idleTimeoutMilliseconds);
        }
    }
}
