/** Headers that may pass between a caller and a service. */
import type { ServiceHeaders } from "./types.js";

/** RFC 9110: these concern one connection only. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Headers that the router sets itself or keeps to itself; the customer's key never leaves it. */
const routerHeaders = new Set([
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-customer",
    "x-request-id",
    "x-request-timeout-ms",
]);

/** Drops hop-by-hop headers and those that the Connection header names. */
export function endToEndHeaders(headers: ServiceHeaders): Record<string, string | string[]> {
    const named = namedByConnection(headers["connection"]);
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const key = name.toLowerCase();
        if (value !== undefined && !hopByHopHeaders.has(key) && !named.has(key)) {
            kept[key] = typeof value === "string" ? value : [...value];
        }
    }
    return kept;
}

/** What is sent to the service in place of the caller's headers. */
export function requestHeaders(
    headers: ServiceHeaders,
    requestId: string,
    customer: string,
    timeoutMilliseconds: number,
): Record<string, string | string[]> {
    const kept = Object.entries(endToEndHeaders(headers)).filter(([name]) => !routerHeaders.has(name));
    return {
        ...Object.fromEntries(kept),
        "x-request-id": requestId,
        "x-customer": encodeURIComponent(customer),
        "x-request-timeout-ms": String(Math.max(1, Math.floor(timeoutMilliseconds))),
    };
}

function namedByConnection(value: string | readonly string[] | undefined): Set<string> {
    const list = typeof value === "string" ? value : (value ?? []).join(",");
    return new Set(list.split(",").map(name => name.trim().toLowerCase()));
}
