/**
 * Applies what backend servers announce about themselves in the headers of their responses, which is earlier than the
 * registry shows it: that they are leaving, or that they want no requests from this router for a time.
 */
import type { Logger } from "../../common/logger.js";
import { parseRetryAfterMilliseconds } from "../../common/retry-after.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";
import type { ObservedResponse, ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ServerExclusions } from "./server-exclusions.js";
import type { ServerRegistry } from "./server-registry.js";

const serviceUnavailableStatus = 503;
/** A longer pause would outlast the fault that caused it, and a wrong value would cost a server for good. */
const maximumPauseMilliseconds = 600_000;

export class ServerAnnouncements implements ResponseObserver {
    constructor(
        private readonly names: Pick<HeaderNames, "serverLeaving">,
        private readonly registry: ServerRegistry,
        private readonly exclusions: ServerExclusions,
        private readonly logger: Logger,
    ) {}

    responseReceived(server: ServerEntry, { status, headers }: ObservedResponse): void {
        if (isSet(headers[this.names.serverLeaving])) {
            this.registry.markLeaving(server);
        }
        const retryAfter = headers["retry-after"];
        if (status === serviceUnavailableStatus && typeof retryAfter === "string") {
            this.applyRetryAfter(server, retryAfter);
        }
    }

    /** The header speaks for the server that responded, also if the response names another one as the cause. */
    private applyRetryAfter(server: ServerEntry, value: string): void {
        const milliseconds = parseRetryAfterMilliseconds(value);
        if (milliseconds === undefined) {
            this.logger.warn("backend server sent an invalid Retry-After; ignored", { server: server.id, value });
            return;
        }
        if (milliseconds > maximumPauseMilliseconds) {
            this.logger.warn("backend server requested a long pause; shortened", {
                server: server.id,
                value,
                milliseconds: maximumPauseMilliseconds,
            });
        }
        this.exclusions.recordRequestedPause(server, Math.min(milliseconds, maximumPauseMilliseconds));
    }
}

/** Repeated headers arrive as one value, separated by commas. */
function isSet(value: string | string[] | undefined): boolean {
    return [value ?? []].flat().join(",").split(",").some(part => part.trim() === "1");
}
