/** Transfers the placement leadership directly between routers while the store is unavailable. */

export interface LeadershipOffer {
    readonly leaseId: number;
    /** Name in the store's leadership key; after an earlier handover, the router that first acquired the lease. */
    readonly holder: string;
    /** Time since the store last confirmed a renewal of the lease. */
    readonly renewedMillisecondsAgo: number;
}

export interface LeadershipHandover {
    /** Resolves to whether another router accepted the offer. */
    offer(offer: LeadershipOffer): Promise<boolean>;
}
