/**
 * When a token last came through each backend server, over all answers of this router: when one answer stalls, servers
 * that go on serving others are not at fault.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";

const maximumServers = 10_000;

/** The progress of one backend server. */
export interface ServerProgress {
    /** Monotonic milliseconds. */
    lastTokenAt: number;
}

export class StageProgress {
    private readonly servers = new LRUCache<string, ServerProgress>({ max: maximumServers });

    /** Found once for each attempt, so that a token costs one assignment a stage. */
    of(backendServer: string): ServerProgress {
        let progress = this.servers.get(backendServer);
        if (progress === undefined) {
            progress = { lastTokenAt: -Infinity };
            this.servers.set(backendServer, progress);
        }
        return progress;
    }
}

/** Notes a token that came through the given servers. */
export function recordProgress(servers: readonly ServerProgress[]): void {
    const now = monotonicNow();
    for (const server of servers) {
        server.lastTokenAt = now;
    }
}
