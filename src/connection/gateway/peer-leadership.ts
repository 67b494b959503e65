/** Offers the leadership of placement to other routers over HTTP, one after the other, until one takes it. */
import { request as sendRequest } from "node:http";
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type { LeadershipHandover, LeadershipOffer } from "../../domain/gateway/leadership-offer.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";

export const offerPath = "/leadership-offer";
/** A router that stops has little time left; a live one answers in a round trip. */
const timeoutMilliseconds = 100;
const maximumOffers = 4;
const taken = 204;

const offerSchema = z.object({ leaseId: z.number(), holder: z.string(), renewedMillisecondsAgo: z.number() });

/** Throws on a text that is no offer. */
export function decodeOffer(text: string): LeadershipOffer {
    return offerSchema.parse(JSON.parse(text));
}

export class HttpLeadershipHandover implements LeadershipHandover {
    constructor(private readonly routers: () => readonly SocketAddress[], private readonly logger: Logger) {}

    async offer(offer: LeadershipOffer): Promise<boolean> {
        for (const router of this.routers().slice(0, maximumOffers)) {
            const status = await this.send(router, offer).catch(String);
            this.logger.info("offered the leadership of placement", { router: formatSocketAddress(router), status });
            if (status === taken) {
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
