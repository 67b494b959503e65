/**
 * HTTP server of the stand-in backend servers and services, with injectable connection faults: it can refuse new
 * connections, break open ones, or stop sending on open ones while new ones work.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

const maximumBodyBytes = 8_000_000;
const loopback = "127.0.0.1";
const badRequestStatus = 400;
const okStatus = 200;

/** Handles one request. An error that it throws is sent as status 400, unless headers have already been sent. */
export type StandInHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void;

export class HttpStandIn {
    private server: Server | undefined;
    private readonly sockets = new Set<Socket>();
    private readonly frozenSockets = new WeakSet<Socket>();
    private boundPort: number;

    /** Port 0 selects any free port. */
    constructor(private readonly handler: StandInHandler, port = 0, private readonly host = loopback) {
        this.boundPort = port;
    }

    get port(): number {
        return this.boundPort;
    }

    get address(): string {
        return `http://${this.host}:${this.boundPort}`;
    }

    /** Starts listening; after `refuse`, listens on the same port again. */
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

    /** Refuses new connections; open ones are unaffected. */
    refuse(): void {
        this.server?.close();
        this.server = undefined;
    }

    /** Sends nothing more on the connections that are open now; new connections work. */
    freezeConnections(): void {
        for (const socket of this.sockets) {
            this.frozenSockets.add(socket);
        }
    }

    /** Whether the connection of a response is frozen, so that nothing may be sent on it. */
    isFrozen(response: ServerResponse): boolean {
        const socket = response.socket ?? response.req.socket;
        return this.frozenSockets.has(socket);
    }

    /** Breaks every open connection. */
    breakConnections(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    /** Refuses new connections and breaks the open ones. */
    close(): void {
        this.refuse();
        this.breakConnections();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        if (this.frozenSockets.has(request.socket)) {
            return;
        }
        Promise.resolve(this.handler(request, response)).catch((error: unknown) => {
            if (!this.isFrozen(response) && !response.headersSent) {
                sendJson(response, badRequestStatus, { error: String(error) });
            }
        });
    }
}

/** Reads the body as text. If it is larger than 8 MB, destroys the request and returns the part read so far. */
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
