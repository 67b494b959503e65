/** Which headers pass between callers and backend servers, and which the gateway sets itself. */
import { monotonicNow } from "../../common/clock.js";
import type { Dialect, HeaderNames } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { hopByHopHeaders } from "../service/headers.js";
import type { GatewayRequest } from "./types.js";

/** What one attempt adds to the caller's headers. */
export interface AttemptHeaders {
    readonly server: ServerEntry;
    readonly layerPath?: string;
    /** Last event that the caller already has. */
    readonly lastEventId?: string;
}

export class GatewayHeaders {
    private readonly names: HeaderNames;
    /** Set by the gateway whatever the caller sent; the caller's key never passes. */
    private readonly ownNames: ReadonlySet<string>;

    constructor(dialect: Dialect) {
        const names = dialect.headers;
        this.names = names;
        this.ownNames = new Set([
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

    /** Headers of one attempt, in the caller's order and spelling. */
    forAttempt(request: GatewayRequest, attempt: AttemptHeaders): string[] {
        const dropped = new Set(namedByConnection(request.rawHeaders));
        if (attempt.lastEventId !== undefined) {
            dropped.add(this.names.lastEventId);
        }
        const headers = keepHeaders(request.rawHeaders, name => !this.ownNames.has(name) && !dropped.has(name));
        const remaining = Math.max(1, Math.floor(request.deadline - monotonicNow()));
        headers.push(this.names.deadline, String(remaining), this.names.expectedServer, attempt.server.id);
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

/** Headers of an answer without those of the connection; the body is framed anew. */
export function answerHeaders(rawHeaders: readonly string[]): string[] {
    const dropped = new Set([...hopByHopHeaders, ...namedByConnection(rawHeaders), "content-length"]);
    return keepHeaders(rawHeaders, name => !dropped.has(name));
}

function keepHeaders(rawHeaders: readonly string[], keep: (lowerCaseName: string) => boolean): string[] {
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (keep(rawHeaders[index]!.toLowerCase())) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

function namedByConnection(rawHeaders: readonly string[]): string[] {
    const named: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (rawHeaders[index]!.toLowerCase() === "connection") {
            named.push(...rawHeaders[index + 1]!.split(",").map(name => name.trim().toLowerCase()));
        }
    }
    return named;
}
