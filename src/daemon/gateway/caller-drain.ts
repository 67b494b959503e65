/**
 * Ends the service of callers when the router shuts down. A request can begin on every open connection: its head may be on
 * its way, and the connection is only known to be idle between two requests. So the drain waits for the connections, not
 * for the requests, and nothing can begin any more once it has ended.
 */
import type { Server } from "node:http";
import { delay, monotonicNow } from "../../common/clock.js";
import type { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";

const pollMilliseconds = 50;
/** Last part of the time for serving, in which requests that are not complete get an error response. */
const errorResponseMilliseconds = 100;

export interface CallerRequests {
    /** Requests that have been received and whose response has not been written in full. */
    readonly requestsInFlight: number;
    cancelAll(): void;
}

export class CallerDrain {
    constructor(
        private readonly server: Server,
        private readonly requests: CallerRequests,
        private readonly shutdown: ShutdownGrace,
    ) {}

    /**
     * Lets the platform notice that the router is not ready, then serves the connections that are open until all have ended,
     * those left have exceeded the time for a head, or the grace period is over. `graceMilliseconds` includes the time for the
     * error responses of what is cancelled.
     */
    async run(graceMilliseconds: number): Promise<void> {
        this.shutdown.begin(graceMilliseconds - errorResponseMilliseconds);
        await delay(this.shutdown.noticeMilliseconds);
        await this.waitForConnections();
        this.shutdown.end();
        if (this.requests.requestsInFlight > 0) {
            this.requests.cancelAll();
            await delay(errorResponseMilliseconds);
        }
        this.server.closeAllConnections();
    }

    private async waitForConnections(): Promise<void> {
        let isOpen = true;
        this.server.close(() => {
            isOpen = false;
        });
        // The runtime stops checking this time once its server has been closed.
        const headsEndAt = monotonicNow() + this.server.headersTimeout;
        const mayReceive = () => isOpen && (this.requests.requestsInFlight > 0 || monotonicNow() < headsEndAt);
        while (mayReceive() && this.shutdown.remainingMilliseconds > 0) {
            this.server.closeIdleConnections();
            await delay(Math.min(pollMilliseconds, Math.max(0, this.shutdown.remainingMilliseconds)));
        }
    }
}
