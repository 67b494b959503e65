/** An HTTP or HTTPS server with timeouts, a connection limit and graceful shutdown, for an injected request handler. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import type { ManagedComponent } from "../../common/life-cycle.js";

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Certificate chain and private key in PEM format. */
export interface ListenerCertificates {
    readonly certificate: string;
    readonly key: string;
}

export interface HttpListenerOptions {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Time in which a client must send all request headers. */
    readonly headersTimeoutMilliseconds: number;
    /** Time in which a client must send the whole request, headers and body. */
    readonly requestTimeoutMilliseconds: number;
    readonly maximumConnections: number;
    /** If given, the listener serves HTTPS; otherwise plain HTTP. */
    readonly certificates?: ListenerCertificates;
}

const keepAliveTimeoutMilliseconds = 60_000;
/** Interval at which Node checks connections for the headers and request timeouts. */
const timeoutCheckIntervalMilliseconds = 1000;

export class HttpListener implements ManagedComponent {
    readonly name: string;
    private readonly server: Server;

    constructor(private readonly options: HttpListenerOptions, handler: RequestHandler) {
        this.name = options.name;
        const serverOptions = {
            headersTimeout: options.headersTimeoutMilliseconds,
            requestTimeout: options.requestTimeoutMilliseconds,
            keepAliveTimeout: keepAliveTimeoutMilliseconds,
            connectionsCheckingInterval: timeoutCheckIntervalMilliseconds,
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

    /** Stops accepting connections, closes idle ones, and waits until the requests in flight have ended. */
    stop(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Base URL of the bound address; available after start. */
    get address(): string {
        const { address, port } = this.server.address() as AddressInfo;
        const scheme = this.options.certificates === undefined ? "http" : "https";
        return `${scheme}://${address.includes(":") ? `[${address}]` : address}:${port}`;
    }
}

/** Answers requests that timed out or failed to parse, for which Node does not call the request handler. */
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
