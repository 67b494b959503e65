/** Hands the placement leadership over by HTTP: offers it to other routers, one at a time, until one accepts. */
import { request as sendRequest } from "node:http";
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type { LeadershipHandover, LeadershipOffer } from "../../domain/gateway/leadership-offer.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";

export const offerPath = "/leadership-offer";
/** Short, as the router is shutting down; a live router responds within one round trip. */
const timeoutMilliseconds = 100;
const maximumOffers = 4;
const acceptedStatus = 204;

const offerSchema = z.object({ leaseId: z.number(), holder: z.string(), renewedMillisecondsAgo: z.number() });

/** Throws if the text is not a valid leadership offer. */
export function decodeOffer(text: string): LeadershipOffer {
    return offerSchema.parse(JSON.parse(text));
}

export class HttpLeadershipHandover implements LeadershipHandover {
    constructor(private readonly routers: () => readonly SocketAddress[], private readonly logger: Logger) {}

    async offer(offer: LeadershipOffer): Promise<boolean> {
        for (const router of this.routers().slice(0, maximumOffers)) {
            const status = await this.send(router, offer).catch(String);
            this.logger.info("placement leadership offered to another router", {
                router: formatSocketAddress(router),
                status,
            });
            if (status === acceptedStatus) {
                return true;
            }
        }
        return false;
    }

    private send(router: SocketAddress, offer: LeadershipOffer): Promise<number | undefined> {
        const body = JSON.stringify(offer);
        return new Promise((resolve, reject) => {
            const request = sendRequest({
                agent: false,
                host: router.host,
                port: router.port,
                method: "POST",
                path: offerPath,
                timeout: timeoutMilliseconds,
                headers: { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) },
            });
            request.on("timeout", () => request.destroy());
            request.on("response", response => {
                response.resume();
                resolve(response.statusCode);
            });
            request.on("error", reject);
            request.on("close", () => resolve(undefined));
            request.end(body);
        });
    }
}
