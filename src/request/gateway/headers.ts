/** Builds the headers of forwarded requests and responses from the received headers and those that the gateway sets. */
import { monotonicNow } from "../../common/clock.js";
import type { Dialect, HeaderNames } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { hopByHopHeaders } from "../service/headers.js";
import type { GatewayRequest } from "./types.js";

/** Values of one attempt that are added to the caller's headers. */
export interface AttemptHeaders {
    readonly server: ServerEntry;
    /** The layer path in the dialect's format. */
    readonly layerPath?: string;
    /** ID of the last event that the caller has received. */
    readonly lastEventId?: string;
}

export class GatewayHeaders {
    private readonly names: HeaderNames;
    /** Removed from the caller's request or replaced by the gateway; the caller's API key is never forwarded. */
    private readonly gatewayControlledNames: ReadonlySet<string>;

    constructor(dialect: Dialect) {
        const names = dialect.headers;
        this.names = names;
        this.gatewayControlledNames = new Set([
            ...hopByHopHeaders,
            "authorization",
            "content-length",
            "expect",
            names.deadline,
            names.customer,
            names.expectedServer,
            names.layerPath,
            names.priority,
        ]);
    }

    /**
     * Returns the request headers of one attempt as alternating names and values. Copied headers keep the caller's
     * order and spelling.
     */
    forAttempt(request: GatewayRequest, attempt: AttemptHeaders): string[] {
        const removedNames = new Set(listConnectionOptions(request.rawHeaders));
        if (attempt.lastEventId !== undefined) {
            removedNames.add(this.names.lastEventId);
        }
        const headers = filterHeaders(
            request.rawHeaders,
            name => !this.gatewayControlledNames.has(name) && !removedNames.has(name),
        );
        const remainingMilliseconds = Math.max(1, Math.floor(request.deadline - monotonicNow()));
        headers.push(this.names.deadline, String(remainingMilliseconds), this.names.expectedServer, attempt.server.id);
        headers.push(this.names.priority, String(request.priority), "Connection", "close");
        if (request.customer !== undefined) {
            headers.push(this.names.customer, request.customer);
        }
        if (attempt.layerPath !== undefined) {
            headers.push(this.names.layerPath, attempt.layerPath);
        }
        if (attempt.lastEventId !== undefined) {
            headers.push(this.names.lastEventId, attempt.lastEventId);
        }
        if (request.body !== undefined) {
            headers.push("Content-Length", String(request.body.length));
        }
        return headers;
    }
}

/** Returns a response's headers without hop-by-hop headers and Content-Length; the gateway frames the body itself. */
export function forwardedResponseHeaders(rawHeaders: readonly string[]): string[] {
    const removedNames = new Set([...hopByHopHeaders, ...listConnectionOptions(rawHeaders), "content-length"]);
    return filterHeaders(rawHeaders, name => !removedNames.has(name));
}

function filterHeaders(rawHeaders: readonly string[], keep: (lowerCaseName: string) => boolean): string[] {
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (keep(rawHeaders[index]!.toLowerCase())) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

/** Lists the hop-by-hop header names that the Connection headers declare, in lower case. */
function listConnectionOptions(rawHeaders: readonly string[]): string[] {
    const optionNames: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]!.toLowerCase() === "connection") {
            optionNames.push(...rawHeaders[index + 1]!.split(",").map(name => name.trim().toLowerCase()));
        }
    }
    return optionNames;
}
