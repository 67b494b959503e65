/** What this router has running on each backend server. */
import type { LoadFigure, ServerLoads } from "../../domain/gateway/placement-notice.js";

export class ServerLoad {
    private readonly loads = new Map<string, LoadFigure>();

    get all(): ServerLoads {
        return this.loads;
    }

    requests(serverId: string): number {
        return this.loads.get(serverId)?.requests ?? 0;
    }

    /** Tokens of the requests that run, prompt and expected answer. */
    tokens(serverId: string): number {
        return this.loads.get(serverId)?.tokens ?? 0;
    }

    /** Counts a request on the servers until the result is called. */
    begin(serverIds: readonly string[], tokens: number): () => void {
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
        const before = this.loads.get(id);
        const load = { requests: (before?.requests ?? 0) + requests, tokens: (before?.tokens ?? 0) + tokens };
        if (load.requests === 0) {
            this.loads.delete(id);
        }
        else {
            this.loads.set(id, load);
        }
    }
}
