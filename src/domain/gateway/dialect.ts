/** How callers and backend servers spell what the gateway reads and writes in HTTP headers. All names in lower case. */
import type { LayerRange } from "../layers.js";
import type { ServerReport, SocketAddress } from "./server-entry.js";

export interface HeaderNames {
    /** Identifies one attempt of a caller; backend servers echo it. */
    readonly requestId: string;
    /** Milliseconds that the sender goes on waiting. */
    readonly deadline: string;
    /** A backend server's proof that it made the answer. */
    readonly proof: string;
    readonly customer: string;
    /** The only backend server that may run the request. */
    readonly expectedServer: string;
    /** Present if the backend server did not run the request. */
    readonly notRun: string;
    /** Backend servers that a request passes through, with their layers. */
    readonly layerPath: string;
    /** 0, the most urgent, to 9. */
    readonly priority: string;
    /** Last event that the receiver has. */
    readonly lastEventId: string;
    /** Tokens of the prompt and the most tokens of the answer. */
    readonly tokenCounts: string;
    /** The caller's estimate of the answer's tokens. */
    readonly lengthHint: string;
    /** The backend server at fault in a refusal. */
    readonly serverAtFault: string;
}

/** A part of a layer path: a backend server and the layers that it computes. */
export interface PathPart {
    readonly address: SocketAddress;
    readonly layers: LayerRange;
}

/** Tokens of a request, as its caller states them. */
export interface TokenCounts {
    readonly prompt: number;
    readonly maximumOutput: number;
}

/** Spelling of the HTTP exchange with callers and backend servers. */
export interface Dialect {
    readonly headers: HeaderNames;
    formatLayerPath(path: readonly PathPart[]): string;
    parseTokenCounts(value: string | undefined): TokenCounts | undefined;
    /** Undefined for anything but `IP:PORT`. */
    parseAddress(value: string | undefined): SocketAddress | undefined;
    readonly reportPath: string;
    /** Undefined for a body that is no report. */
    parseReport(body: Buffer): ServerReport | undefined;
    readonly orderPath: string;
    formatRepathOrder(requestId: string, path: readonly PathPart[]): Buffer;
    formatPlaceOrder(layers: LayerRange, ordersBegun: number): Buffer;
}
