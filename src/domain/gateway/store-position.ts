/**
 * Positions in the history of the platform's store. The store may come back from an older copy of itself; it then gives out
 * revisions and IDs of leases again, so that either means something only together with the era in which it was given out.
 */

export interface StorePosition {
    /** Rises by one each time the store comes back from a copy; 0 if it states none. */
    readonly era: number;
    readonly revision: number;
}

export interface StoreLease {
    readonly id: number;
    /** The era in which the store granted the lease. */
    readonly era: number;
}

/** Before every position. */
export const initialPosition: StorePosition = { era: 0, revision: 0 };

/** Negative if the left position is the earlier one, 0 if they are the same. */
export function comparePositions(left: StorePosition, right: StorePosition): number {
    return left.era - right.era || left.revision - right.revision;
}
