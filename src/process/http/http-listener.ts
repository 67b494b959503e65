/** An HTTP server with time limits and a graceful stop. What it answers is injected. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import type { ManagedComponent } from "../../common/life-cycle.js";

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Certificates in PEM form. */
export interface ListenerCertificates {
    readonly certificate: string;
    readonly key: string;
}

export interface HttpListenerOptions {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly headersTimeoutMilliseconds: number;
    /** Time for the whole request, headers and body. */
    readonly requestTimeoutMilliseconds: number;
    readonly maximumConnections: number;
    readonly certificates?: ListenerCertificates;
}

const keepAliveMilliseconds = 60_000;
const timeoutCheckMilliseconds = 1000;

export class HttpListener implements ManagedComponent {
    readonly name: string;
    private readonly server: Server;

    constructor(private readonly options: HttpListenerOptions, handler: RequestHandler) {
        this.name = options.name;
        const serverOptions = {
            headersTimeout: options.headersTimeoutMilliseconds,
            requestTimeout: options.requestTimeoutMilliseconds,
            keepAliveTimeout: keepAliveMilliseconds,
            connectionsCheckingInterval: timeoutCheckMilliseconds,
            noDelay: true,
        };
        const { certificates } = options;
        this.server = certificates === undefined
            ? createServer(serverOptions, handler)
            : createTlsServer({ ...serverOptions, cert: certificates.certificate, key: certificates.key }, handler);
        this.server.maxConnections = options.maximumConnections;
        this.server.on("clientError", answerClientError);
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => {
                this.server.off("error", reject);
                resolve();
            });
        });
    }

    /** Takes no more connections and waits until those with a request have ended. */
    stop(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Base URL, known after start. */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        const scheme = this.options.certificates === undefined ? "http" : "https";
        return `${scheme}://${address.includes(":") ? `[${address}]` : address}:${port}`;
    }
}

/** Answers what Node's parser refused before any handler saw it. */
function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const timedOut = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
    const status = timedOut ? "408 Request Timeout" : "400 Bad Request";
    const code = timedOut ? "request-timeout" : "bad-request";
    const message = timedOut ? "The request was not received in time." : "The request is not valid HTTP.";
    const body = JSON.stringify({ error: { message, type: code, code, outcome: "not-run" } });
    socket.end(
        `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${
            Buffer.byteLength(body)
        }\r\nConnection: close\r\n\r\n${body}`,
    );
}
