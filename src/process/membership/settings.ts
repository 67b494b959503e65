/** Timing and size parameters of membership. */

export interface MembershipSettings {
    readonly probePeriodMilliseconds: number;
    readonly probeTimeoutMilliseconds: number;
    /** Number of peers that are asked to probe a peer that did not answer. */
    readonly indirectProbes: number;
    /** Time in which a suspect must refute the suspicion; after it, the suspect is declared dead. */
    readonly suspicionMilliseconds: number;
    /** Added to `suspicionMilliseconds` in routers that learnt of the suspicion from another router. */
    readonly reportedSuspicionExtraMilliseconds: number;
    /** Delay before deltas are forwarded, so that those that arrive close together share a message. */
    readonly forwardDelayMilliseconds: number;
    /** Number of probes that carry each delta after it was forwarded. */
    readonly piggybackRepeats: number;
    /** Maximum number of piggybacked deltas in one message. */
    readonly maximumPiggybackedDeltas: number;
    /** Minimum time between two exchanges of full state because of different digests. */
    readonly minimumExchangeIntervalMilliseconds: number;
    readonly exchangeTimeoutMilliseconds: number;
    /** Mean period at which a router contacts another router that is not present in its view. */
    readonly reconnectPeriodMilliseconds: number;
    /** Age at which the platform's list of VMs is read again. */
    readonly vmListRefreshMilliseconds: number;
    /** Time for which a member that died or left stays in the table. */
    readonly departedRetentionMilliseconds: number;
    /** Duration of an epoch of demand averaging. */
    readonly demandEpochMilliseconds: number;
    /** Time from the start of an epoch after which its estimates are used. */
    readonly demandConvergenceMilliseconds: number;
}

export const defaultMembershipSettings: MembershipSettings = {
    probePeriodMilliseconds: 1_000,
    probeTimeoutMilliseconds: 500,
    indirectProbes: 2,
    suspicionMilliseconds: 1_500,
    reportedSuspicionExtraMilliseconds: 1_500,
    forwardDelayMilliseconds: 20,
    piggybackRepeats: 4,
    maximumPiggybackedDeltas: 64,
    minimumExchangeIntervalMilliseconds: 10_000,
    exchangeTimeoutMilliseconds: 2_000,
    reconnectPeriodMilliseconds: 10_000,
    vmListRefreshMilliseconds: 30_000,
    departedRetentionMilliseconds: 600_000,
    demandEpochMilliseconds: 300_000,
    demandConvergenceMilliseconds: 90_000,
};

/** Maximum number of recorded notices; the least recently used are evicted. */
export const maximumNotices = 4_096;
/** Target number of customers in one slice of demand averaging. */
export const customersPerDemandSlice = 40;
