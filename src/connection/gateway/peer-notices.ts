/** Sends placement notices to other routers: one small HTTP request for each notice and router, with a JSON body. */
import { request as sendRequest } from "node:http";
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type { NoticeSender, PlacementNotice } from "../../domain/gateway/placement-notice.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";

export const noticePath = "/placement-notice";
/** A router that does not take a notice within this time gets the next one. */
const timeoutMilliseconds = 500;

export const noticeSchema = z.object({
    sender: z.string(),
    servers: z.array(z.object({
        id: z.string(),
        bornAt: z.optional(z.number()),
        layers: z.optional(z.object({ first: z.number(), last: z.number() })),
        lost: z.boolean(),
    })),
});

export class HttpNoticeSender implements NoticeSender {
    private failures = 0;

    constructor(private readonly routers: () => readonly SocketAddress[], private readonly logger: Logger) {}

    send(notice: PlacementNotice): void {
        const body = Buffer.from(JSON.stringify(notice));
        this.routers().forEach(router => this.sendTo(router, body));
    }

    private sendTo(router: SocketAddress, body: Buffer): void {
        const request = sendRequest({
            agent: false,
            host: router.host,
            port: router.port,
            method: "POST",
            path: noticePath,
            timeout: timeoutMilliseconds,
            headers: { "content-type": "application/json", "content-length": String(body.length) },
        });
        request.on("timeout", () => request.destroy());
        request.on("response", response => response.resume());
        request.on("error", error => {
            this.failures++;
            this.logger.debug("a router did not take a notice", {
                router: formatSocketAddress(router),
                failures: this.failures,
                error: error.message,
            });
        });
        request.end(body);
    }
}
