/**
 * Detects backend servers that accept no new connections, by opening TCP connections to them. A live server accepts a
 * connection within one round trip under any load; a crashed server refuses it, and a server that is cut off from the
 * network does not respond.
 */
import { connect } from "node:net";
import { monotonicNow } from "../../common/clock.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";

/** Fits about ten round trips between availability zones plus the handshake of a busy server. */
const checkTimeoutMilliseconds = 18;
/** A second connection is opened after this time, in case the first connection's SYN packet was lost. */
const retryDelayMilliseconds = 8;
/** The result of a check is shared by all callers within this time. */
const cacheTtlMilliseconds = 300;

interface CachedResult {
    readonly startedAt: number;
    readonly reachable: Promise<boolean>;
}

export interface ReachabilityCheck {
    /** Resolves to the servers that did not accept a connection in time. */
    findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]>;
}

export class TcpReachabilityCheck implements ReachabilityCheck {
    private readonly checks = new Map<string, CachedResult>();

    async findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]> {
        const results = await Promise.all(servers.map(server => this.isReachable(server)));
        return servers.filter((_server, index) => !results[index]);
    }

    private isReachable(server: ServerEntry): Promise<boolean> {
        const now = monotonicNow();
        for (const [id, { startedAt }] of this.checks) {
            if (now - startedAt > cacheTtlMilliseconds) {
                this.checks.delete(id);
            }
        }
        const cached = this.checks.get(server.id);
        if (cached !== undefined) {
            return cached.reachable;
        }
        const reachable = acceptsConnection(server);
        this.checks.set(server.id, { startedAt: now, reachable });
        return reachable;
    }
}

function acceptsConnection({ address }: ServerEntry): Promise<boolean> {
    return new Promise(resolve => {
        const settle = (reachable: boolean) => {
            timers.forEach(timer => clearTimeout(timer));
            sockets.forEach(socket => socket.destroy());
            resolve(reachable);
        };
        const openSocket = () => {
            const socket = connect(address.port, address.host);
            socket.once("connect", () => settle(true));
            socket.once("error", () => settle(false));
            return socket;
        };
        const sockets = [openSocket()];
        const timers = [
            setTimeout(() => sockets.push(openSocket()), retryDelayMilliseconds),
            // setImmediate lets the event loop process connections that were established while it was blocked.
            setTimeout(() => setImmediate(() => settle(false)), checkTimeoutMilliseconds),
        ];
    });
}
