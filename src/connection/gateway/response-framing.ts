/** Decides from the head of a response how its body is delimited, according to RFC 9112, section 6.3. */
import type { IncomingHttpHeaders } from "node:http";

export const ResponseFraming = {
    /** The response has a length or chunks, or cannot have a body. */
    selfDelimited: "self-delimited",
    /** The body ends with the connection. */
    untilClose: "until-close",
    /** A transfer coding other than chunks, which no request accepts. */
    unsupported: "unsupported",
} as const;
export type ResponseFraming = typeof ResponseFraming[keyof typeof ResponseFraming];

export interface FramedHead {
    readonly status: number;
    /** Keyed by lower-case header name. */
    readonly headers: IncomingHttpHeaders;
}

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** A coding of earlier versions of HTTP that leaves the body as it is, without a delimiter. */
const identityCoding = "identity";
const chunkedCoding = "chunked";

export function responseFraming({ status, headers }: FramedHead, method: string): ResponseFraming {
    const coding = headers["transfer-encoding"]?.trim().toLowerCase() ?? identityCoding;
    if (method === "HEAD" || bodilessStatuses.has(status) || coding === chunkedCoding) {
        return ResponseFraming.selfDelimited;
    }
    if (coding !== identityCoding) {
        return ResponseFraming.unsupported;
    }
    return headers["content-length"] === undefined ? ResponseFraming.untilClose : ResponseFraming.selfDelimited;
}
