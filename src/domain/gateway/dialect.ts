/** Header names, paths and formats of the gateway's HTTP exchange with callers and backend servers. */
import type { LayerRange } from "../layers.js";
import type { ServerReport, SocketAddress } from "./server-entry.js";

/** Header names, all in lower case. */
export interface HeaderNames {
    /** ID of one attempt of a caller; backend servers echo it in their responses. */
    readonly requestId: string;
    /** Time in milliseconds that the sender will still wait for the response. */
    readonly deadline: string;
    /** Proof that a backend server produced the response. */
    readonly proof: string;
    readonly customer: string;
    /** ID of the only backend server that may run the request. */
    readonly expectedServer: string;
    /** Present if the backend server did not run the request. */
    readonly notRun: string;
    /** The backend servers that a request passes through, with the layers that each computes. */
    readonly layerPath: string;
    /** From 0, the most urgent, to 9. */
    readonly priority: string;
    /** ID of the last event that the receiver got. */
    readonly lastEventId: string;
    /** Number of prompt tokens and maximum number of output tokens. */
    readonly tokenCounts: string;
    /** The parts of the prompt in order, each with its number of tokens. */
    readonly promptParts: string;
    /** The caller's estimate of the number of output tokens. */
    readonly lengthHint: string;
    /** Address of the backend server that caused the rejection of a request. */
    readonly serverAtFault: string;
    /** Has the value `1` in all responses of a backend server that is leaving. */
    readonly serverLeaving: string;
}

/** One backend server of a layer path and the layers that it computes. */
export interface PathPart {
    readonly address: SocketAddress;
    readonly layers: LayerRange;
}

/** Token counts of a request, as stated by its caller. */
export interface TokenCounts {
    readonly prompt: number;
    readonly maximumOutput: number;
}

export interface Dialect {
    readonly headers: HeaderNames;
    formatLayerPath(path: readonly PathPart[]): string;
    parseTokenCounts(value: string | undefined): TokenCounts | undefined;
    /** Returns undefined unless the value is a positive number of tokens. */
    parseLengthHint(value: string | undefined): number | undefined;
    /**
     * IDs of the prompt's parts that other requests may share, in the prompt's order and as 1 to 64 lower-case hexadecimal
     * digits. Every part has one, however many there are and whatever its form.
     */
    parseSharedPromptParts(value: string | undefined): readonly string[];
    /** Returns undefined unless the value has the form `IP:PORT`. */
    parseAddress(value: string | undefined): SocketAddress | undefined;
    readonly reportPath: string;
    /** Returns undefined if the body is not a valid report. */
    parseReport(body: Buffer): ServerReport | undefined;
    readonly orderPath: string;
    formatChangePathOrder(requestId: string, path: readonly PathPart[]): Buffer;
    formatPlaceLayersOrder(layers: LayerRange, ordersBegun: number): Buffer;
}
