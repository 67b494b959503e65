/** Hands the leadership of placement from one router to another while the store cannot pass it on. */

export interface LeadershipOffer {
    readonly leaseId: number;
    /** Name under which the lease's key was written. */
    readonly holder: string;
    /** Time since the last renewal that the store confirmed. */
    readonly renewedMillisecondsAgo: number;
}

export interface LeadershipHandover {
    /** Whether another router took the offer. */
    offer(offer: LeadershipOffer): Promise<boolean>;
}
