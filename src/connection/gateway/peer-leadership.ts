/** Hands the placement leadership over by HTTP: offers it to other routers, one at a time, until one accepts. */
import * as z from "zod/mini";
import type { Logger } from "../../common/logger.js";
import type { LeadershipHandover, LeadershipOffer } from "../../domain/gateway/leadership-offer.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import type { PeerClient } from "./peer-client.js";
import { parsePeerMessage, quantity, wholeNumber } from "./peer-messages.js";

export const offerPath = "/leadership-offer";
/** Short, as the router is shutting down; a live router responds within one round trip. */
const timeoutMilliseconds = 100;
const maximumOffers = 4;
const acceptedStatus = 204;

const offerSchema = z.object({
    leaseId: wholeNumber(),
    era: z._default(wholeNumber(), 0),
    holder: z.string(),
    renewedMillisecondsAgo: quantity(),
});

/** Throws InvalidPeerMessageError if the text is not a valid leadership offer. */
export function decodeOffer(text: string): LeadershipOffer {
    const { leaseId, era, ...offer } = parsePeerMessage("leadership offer", offerSchema, text);
    return { ...offer, lease: { id: leaseId, era } };
}

function encodeOffer({ lease, holder, renewedMillisecondsAgo }: LeadershipOffer): Buffer {
    return Buffer.from(JSON.stringify({ leaseId: lease.id, era: lease.era, holder, renewedMillisecondsAgo }));
}

export class HttpLeadershipHandover implements LeadershipHandover {
    constructor(
        private readonly routers: () => readonly SocketAddress[],
        private readonly client: PeerClient,
        private readonly logger: Logger,
    ) {}

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

    private async send(router: SocketAddress, offer: LeadershipOffer): Promise<number> {
        const body = encodeOffer(offer);
        const { status } = await this.client.send(router, {
            method: "POST",
            path: offerPath,
            body,
            timeoutMilliseconds,
        });
        return status;
    }
}
