/**
 * Applies what backend servers announce about themselves in the headers of their responses, which is earlier than the
 * registry shows it: that they are leaving.
 */
import type { HeaderNames } from "../../domain/gateway/dialect.js";
import type { ObservedResponse, ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ServerRegistry } from "./server-registry.js";

export class ServerAnnouncements implements ResponseObserver {
    constructor(
        private readonly names: Pick<HeaderNames, "serverLeaving">,
        private readonly registry: ServerRegistry,
    ) {}

    responseReceived(server: ServerEntry, { headers }: ObservedResponse): void {
        if (isSet(headers[this.names.serverLeaving])) {
            this.registry.markLeaving(server);
        }
    }
}

/** Repeated headers arrive as one value, separated by commas. */
function isSet(value: string | string[] | undefined): boolean {
    return [value ?? []].flat().join(",").split(",").some(part => part.trim() === "1");
}
