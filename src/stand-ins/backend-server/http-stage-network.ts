/** Stage messages between processes, as JSON over HTTP. Messages queued during a request are sent in the next one. */
import { Pool } from "undici";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { stageRequestTimeoutMilliseconds } from "./constants.js";
import type { StageEndpoint, StageMessage, StageNetwork, StageReply, StageRequest } from "./types.js";

interface QueuedMessage {
    readonly message: StageMessage;
    readonly onFailure: () => void;
}

const okStatus = 200;

/** URL path of each kind of stage request. */
export const stageRequestPaths = {
    "prepare": "/v1/stages/prepare",
    "ping": "/v1/stages/ping",
    "export-cache": "/v1/cache/export",
} as const;

/** Connection to one other engine. Sends at most one batch at a time, which preserves the order of messages. */
class StageConnection {
    private queue: QueuedMessage[] = [];
    private sending = false;
    private readonly pool: Pool;

    constructor(private readonly address: string) {
        this.pool = new Pool(address, { connections: null, pipelining: 1 });
    }

    send(message: StageMessage, onFailure: () => void): void {
        this.queue.push({ message, onFailure });
        if (!this.sending) {
            this.sending = true;
            queueMicrotask(() => void this.sendQueued());
        }
    }

    async request(request: StageRequest): Promise<StageReply> {
        return JSON.parse(await this.post(stageRequestPaths[request.kind], JSON.stringify(request))) as StageReply;
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private async sendQueued(): Promise<void> {
        while (this.queue.length > 0) {
            const batch = this.queue;
            this.queue = [];
            try {
                await this.post("/v1/stages", batch.map(queued => JSON.stringify(queued.message)).join("\n"));
            }
            catch {
                for (const queued of batch) {
                    queued.onFailure();
                }
            }
        }
        this.sending = false;
    }

    private async post(path: string, body: string): Promise<string> {
        const response = await this.pool.request({
            method: "POST",
            path,
            body,
            headersTimeout: stageRequestTimeoutMilliseconds,
            bodyTimeout: stageRequestTimeoutMilliseconds,
        });
        const text = await response.body.text();
        if (response.statusCode !== okStatus) {
            throw new ConnectionFailedError(this.address, ConnectionFailure.protocol, true);
        }
        return text;
    }
}

export class HttpStageNetwork implements StageNetwork {
    private readonly connections = new Map<string, StageConnection>();

    send(from: StageEndpoint, address: string, message: StageMessage, onFailure: () => void): void {
        if (address === from.address) {
            setImmediate(() => from.receive(message));
            return;
        }
        this.connectionTo(address).send(message, onFailure);
    }

    request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply> {
        return address === from.address ? from.handleRequest(request) : this.connectionTo(address).request(request);
    }

    async close(): Promise<void> {
        await Promise.all([...this.connections.values()].map(connection => connection.close()));
        this.connections.clear();
    }

    private connectionTo(address: string): StageConnection {
        const connection = this.connections.get(address) ?? new StageConnection(address);
        this.connections.set(address, connection);
        return connection;
    }
}
