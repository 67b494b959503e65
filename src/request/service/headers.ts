/** Filters the headers that are forwarded between a caller and a service. */
import type { ServiceHeaders } from "./types.js";

/** Headers that apply to a single connection and must not be forwarded (RFC 9110). */
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

/** Request headers that the router sets itself or does not forward, such as the customer's API key. */
const routerManagedHeaders = new Set([
    "authorization",
    "content-length",
    "expect",
    "host",
    "x-customer",
    "x-request-id",
    "x-request-timeout-ms",
]);

/** Removes hop-by-hop headers and those named in the Connection header; names in the result are in lower case. */
export function endToEndHeaders(headers: ServiceHeaders): Record<string, string | string[]> {
    const namedInConnection = parseConnectionHeader(headers["connection"]);
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const key = name.toLowerCase();
        if (value !== undefined && !hopByHopHeaders.has(key) && !namedInConnection.has(key)) {
            kept[key] = typeof value === "string" ? value : [...value];
        }
    }
    return kept;
}

/** Builds the headers of the request to the service from those of the caller. */
export function buildRequestHeaders(
    headers: ServiceHeaders,
    requestId: string,
    customer: string,
    timeoutMilliseconds: number,
): Record<string, string | string[]> {
    const kept = Object.entries(endToEndHeaders(headers)).filter(([name]) => !routerManagedHeaders.has(name));
    return {
        ...Object.fromEntries(kept),
        "x-request-id": requestId,
        "x-customer": encodeURIComponent(customer),
        "x-request-timeout-ms": String(Math.max(1, Math.floor(timeoutMilliseconds))),
    };
}

function parseConnectionHeader(value: string | readonly string[] | undefined): Set<string> {
    const list = typeof value === "string" ? value : (value ?? []).join(",");
    return new Set(list.split(",").map(name => name.trim().toLowerCase()));
}
