/**
 * Tells which backend servers take no new connections. A live server takes one in a round trip, whatever its load, while
 * one that has crashed refuses and one that has gone dark does not answer.
 */
import { connect } from "node:net";
import { monotonicNow } from "../../common/clock.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";

/** Some ten round trips between zones and the handshake of a busy server. */
const answerMilliseconds = 18;
/** A second connection is tried after this time, since the first one's packet may be lost on the way. */
const secondTryMilliseconds = 8;
/** A result serves all requests that ask within this time. */
const cacheMilliseconds = 300;

interface CachedCheck {
    readonly at: number;
    readonly reachable: Promise<boolean>;
}

export interface ReachabilityCheck {
    /** Those of the servers that took no connection. */
    findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]>;
}

export class ConnectReachabilityCheck implements ReachabilityCheck {
    private readonly checks = new Map<string, CachedCheck>();

    async findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]> {
        const results = await Promise.all(servers.map(server => this.isReachable(server)));
        return servers.filter((_server, index) => !results[index]);
    }

    private isReachable(server: ServerEntry): Promise<boolean> {
        const now = monotonicNow();
        for (const [id, { at }] of this.checks) {
            if (now - at > cacheMilliseconds) {
                this.checks.delete(id);
            }
        }
        const cached = this.checks.get(server.id);
        if (cached !== undefined) {
            return cached.reachable;
        }
        const reachable = takesConnection(server);
        this.checks.set(server.id, { at: now, reachable });
        return reachable;
    }
}

function takesConnection({ address }: ServerEntry): Promise<boolean> {
    return new Promise(resolve => {
        const settle = (reachable: boolean) => {
            timers.forEach(timer => clearTimeout(timer));
            sockets.forEach(socket => socket.destroy());
            resolve(reachable);
        };
        const open = () => {
            const socket = connect(address.port, address.host);
            socket.once("connect", () => settle(true));
            socket.once("error", () => settle(false));
            return socket;
        };
        const sockets = [open()];
        const timers = [
            setTimeout(() => sockets.push(open()), secondTryMilliseconds),
            // Answers that arrived while this process was busy are taken in before the verdict.
            setTimeout(() => setImmediate(() => settle(false)), answerMilliseconds),
        ];
    });
}
