/**
 * An HTTP server with the faults that stand-ins share: it can refuse connections, break them, or leave the open ones
 * silent while new ones work.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

const maximumBodyBytes = 8_000_000;
const loopback = "127.0.0.1";
const badRequestStatus = 400;
const okStatus = 200;

/** Answers one request. */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

export class HttpStandIn {
    private server: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private readonly frozen = new WeakSet<Socket>();
    private boundPort: number;

    /** Port 0 takes any free one. */
    constructor(private readonly handler: StandInHandler, port = 0, private readonly host = loopback) {
        this.boundPort = port;
    }

    get port(): number {
        return this.boundPort;
    }

    get address(): string {
        return `http://${this.host}:${this.boundPort}`;
    }

    /** Listens; also after `refuse`, on the same port. */
    async listen(): Promise<void> {
        const server = createServer(
            { keepAliveTimeout: 60_000 },
            (request, response) => this.handle(request, response),
        );
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.setNoDelay(true);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => socket.destroy());
        });
        this.server = server;
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.boundPort, this.host, resolve);
        });
        this.boundPort = (server.address() as AddressInfo).port;
    }

    /** Refuses new connections; open ones go on. */
    refuse(): void {
        this.server?.close();
        this.server = undefined;
    }

    /** Leaves every open connection silent for good; new ones work. */
    freezeConnections(): void {
        for (const socket of this.sockets) {
            this.frozen.add(socket);
        }
    }

    /** Whether nothing more is said on the connection of a response. */
    isFrozen(response: ServerResponse): boolean {
        const socket = response.socket ?? response.req.socket;
        return this.frozen.has(socket);
    }

    /** Breaks every open connection. */
    breakConnections(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    /** Refuses and breaks. */
    close(): void {
        this.refuse();
        this.breakConnections();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        if (this.frozen.has(request.socket)) {
            return;
        }
        Promise.resolve(this.handler(request, response)).catch((error: unknown) => {
            if (!this.isFrozen(response) && !response.headersSent) {
                sendJson(response, badRequestStatus, { error: String(error) });
            }
        });
    }
}

/** Reads a whole body as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maximumBodyBytes) {
            request.destroy();
            break;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(value));
}

export function sendOk(response: ServerResponse): void {
    sendJson(response, okStatus, {});
}
