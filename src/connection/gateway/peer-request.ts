/** Sends HTTP requests to other routers, with a limit on the time of the whole call and on the size of the response. */
import { Agent, type ClientRequest, request as sendRequest } from "node:http";
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
/** The placement leader calls every router twice a second; a connection for each call would cost it half as much again. */
const agent = new Agent({ keepAlive: true, maxFreeSockets: 1 });

/** Rejects with PeerUnreachableError if the call fails, takes too long, or if the response is too large. */
export async function sendPeerRequest(router: SocketAddress, call: PeerRequest): Promise<PeerResponse> {
    const request = createRequest(router, call);
    // The socket's own timeout restarts with every byte that arrives.
    const timer = setTimeout(() => request.destroy(), call.timeoutMilliseconds);
    try {
        return await readWholeResponse(request, call.body);
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
function createRequest(router: SocketAddress, { method, path, body }: PeerRequest): ClientRequest {
    const headers = body === undefined
        ? {}
        : { "content-type": "application/json", "content-length": String(body.length) };
    try {
        return sendRequest({ agent, host: router.host, port: router.port, method, path, headers });
    }
    catch (error) {
        throw new PeerUnreachableError(formatSocketAddress(router), error);
    }
}

/** Sends the request with its body, and resolves once the response is complete. */
function readWholeResponse(request: ClientRequest, body: Buffer | undefined): Promise<PeerResponse> {
    return new Promise((resolve, reject) => {
        request.on("error", reject);
        request.on("response", response => {
            readBoundedText(response, maximumPeerMessageBytes).then(
                text => resolve({ status: response.statusCode ?? 0, text }),
                reject,
            );
        });
        request.end(body);
    });
}
