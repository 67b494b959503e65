/** Learns from the head of every response of backend servers, whatever the request was. */
import type { ServerEntry } from "./server-entry.js";

/** Status and headers of a response; the headers are keyed by lower-case name. */
export interface ObservedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

export interface ResponseObserver {
    /** `server` is the entry to whose address the request was sent. */
    responseReceived(server: ServerEntry, response: ObservedResponse): void;
}
