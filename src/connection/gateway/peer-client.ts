/** Sends HTTP requests to other routers over kept connections, with a limit on the time of the whole call and on the size of the response. */
import { Agent, type ClientRequest, type IncomingMessage, request as sendRequest } from "node:http";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import { readBoundedText } from "../../common/read-bounded-text.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { PeerUnreachableError } from "../../errors/index.js";

export interface PeerRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    /** JSON text. */
    readonly body?: Buffer;
    /** Time from the call to the end of the response. */
    readonly timeoutMilliseconds: number;
}

export interface PeerResponse {
    readonly status: number;
    readonly text: string;
}

/** Fits a store snapshot: the configuration of 1 MB and some hundred small values, all base64-encoded. */
export const maximumPeerMessageBytes = 4_000_000;

/** For each router. With more, a call could fail once for each connection that has gone silent. */
const maximumIdleConnections = 1;

export class PeerClient implements ManagedComponent {
    readonly name = "peer client";
    /** The placement leader calls every router twice a second; a connection for each call would cost it half as much again. */
    private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: maximumIdleConnections });

    constructor(private readonly failures: FailureReporter) {}

    async start(): Promise<void> {}

    async stop(): Promise<void> {
        this.agent.destroy();
    }

    /** Rejects with PeerUnreachableError if the call fails, takes too long, or if the response is too large. */
    async send(router: SocketAddress, call: PeerRequest): Promise<PeerResponse> {
        const request = this.createRequest(router, call);
        const fail = this.failures.createBoundary("call to a router", error => request.destroy(error as Error));
        // The socket's own timeout restarts with every byte that arrives.
        const timer = setTimeout(fail.wrap(() => request.destroy()), call.timeoutMilliseconds);
        try {
            return await readWholeResponse(request, call.body, fail);
        }
        catch (error) {
            request.destroy();
            throw new PeerUnreachableError(formatSocketAddress(router), error);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Throws PeerUnreachableError if the runtime refuses the address or the path. */
    private createRequest(router: SocketAddress, { method, path, body }: PeerRequest): ClientRequest {
        const headers = body === undefined
            ? {}
            : { "content-type": "application/json", "content-length": String(body.length) };
        try {
            return sendRequest({ agent: this.agent, host: router.host, port: router.port, method, path, headers });
        }
        catch (error) {
            throw new PeerUnreachableError(formatSocketAddress(router), error);
        }
    }
}

/** Sends the request with its body, and resolves once the response is complete. */
function readWholeResponse(
    request: ClientRequest,
    body: Buffer | undefined,
    boundary: FailureBoundary,
): Promise<PeerResponse> {
    return new Promise((resolve, reject) => {
        request.on("error", boundary.wrap(reject));
        request.on(
            "response",
            boundary.wrap((response: IncomingMessage) =>
                readBoundedText(response, maximumPeerMessageBytes).then(
                    text => resolve({ status: response.statusCode ?? 0, text }),
                    reject,
                )
            ),
        );
        request.end(body);
    });
}
