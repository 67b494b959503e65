/** Stage messages between processes: JSON over HTTP, several messages in one request when they come close together. */
import { Pool } from "undici";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { stageRequestTimeoutMilliseconds } from "./constants.js";
import type { StageEndpoint, StageMessage, StageNetwork, StageReply, StageRequest } from "./types.js";

interface QueuedMessage {
    readonly message: StageMessage;
    readonly failed: () => void;
}

const okStatus = 200;

/** Path of each kind of request between stages. */
export const stageRequestPaths = {
    "prepare": "/v1/stages/prepare",
    "ping": "/v1/stages/ping",
    "export-cache": "/v1/cache/export",
} as const;

/** The way to one other engine. At most one batch is under way at a time, which also keeps the order. */
class StageLink {
    private queue: QueuedMessage[] = [];
    private sending = false;
    private readonly pool: Pool;

    constructor(private readonly address: string) {
        this.pool = new Pool(address, { connections: null, pipelining: 1 });
    }

    send(message: StageMessage, failed: () => void): void {
        this.queue.push({ message, failed });
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
                    queued.failed();
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
    private readonly links = new Map<string, StageLink>();

    send(from: StageEndpoint, address: string, message: StageMessage, failed: () => void): void {
        if (address === from.address) {
            setImmediate(() => from.receive(message));
            return;
        }
        this.link(address).send(message, failed);
    }

    request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply> {
        return address === from.address ? from.answer(request) : this.link(address).request(request);
    }

    async close(): Promise<void> {
        await Promise.all([...this.links.values()].map(link => link.close()));
        this.links.clear();
    }

    private link(address: string): StageLink {
        const known = this.links.get(address) ?? new StageLink(address);
        this.links.set(address, known);
        return known;
    }
}
