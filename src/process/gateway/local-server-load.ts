/** Counts the running requests of this router on each backend server. */
import type { RunningLoad, ServerLoads } from "../../domain/gateway/placement-notice.js";

export class LocalServerLoad {
    private readonly loadsByServer = new Map<string, RunningLoad>();

    get all(): ServerLoads {
        return this.loadsByServer;
    }

    requests(serverId: string): number {
        return this.loadsByServer.get(serverId)?.requests ?? 0;
    }

    /** Prompt tokens and expected output tokens of the running requests. */
    tokens(serverId: string): number {
        return this.loadsByServer.get(serverId)?.tokens ?? 0;
    }

    /** Counts a request on each of the servers until the returned function is called; further calls have no effect. */
    beginRequest(serverIds: readonly string[], tokens: number): () => void {
        serverIds.forEach(id => this.change(id, 1, tokens));
        let ended = false;
        return () => {
            if (!ended) {
                ended = true;
                serverIds.forEach(id => this.change(id, -1, -tokens));
            }
        };
    }

    private change(id: string, requests: number, tokens: number): void {
        const before = this.loadsByServer.get(id);
        const load = { requests: (before?.requests ?? 0) + requests, tokens: (before?.tokens ?? 0) + tokens };
        if (load.requests === 0) {
            this.loadsByServer.delete(id);
        }
        else {
            this.loadsByServer.set(id, load);
        }
    }
}
