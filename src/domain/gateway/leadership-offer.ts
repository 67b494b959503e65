/** Transfers the placement leadership directly between routers while the store is unavailable. */
import type { StoreLease } from "./store-position.js";

export interface LeadershipOffer {
    readonly lease: StoreLease;
    /** Name in the store's leadership key; after an earlier handover, the router that first acquired the lease. */
    readonly holder: string;
    /** Time since the store last confirmed a renewal of the lease. */
    readonly renewedMillisecondsAgo: number;
}

export interface LeadershipHandover {
    /** Resolves to whether another router accepted the offer. */
    offer(offer: LeadershipOffer): Promise<boolean>;
}
