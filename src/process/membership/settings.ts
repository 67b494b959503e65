/** Times and sizes of membership. */

export interface MembershipSettings {
    readonly probePeriodMilliseconds: number;
    readonly probeTimeoutMilliseconds: number;
    /** Routers that are asked to probe one that did not answer. */
    readonly indirectProbes: number;
    /** Time in which a suspect can refute. */
    readonly suspicionMilliseconds: number;
    /** What others wait longer than the router that raised the suspicion. */
    readonly foreignSuspicionMilliseconds: number;
    /** News that arrive close together are passed on in one message. */
    readonly forwardDelayMilliseconds: number;
    /** Times that each piece of news is added to probes after it was forwarded. */
    readonly piggybackRepeats: number;
    /** Most pieces of news in one message. */
    readonly maximumDeltas: number;
    /** Shortest time between two full exchanges that a difference of digests leads to. */
    readonly exchangeMilliseconds: number;
    readonly exchangeTimeoutMilliseconds: number;
    /** How often a router tries one that it does not see alive. */
    readonly reconnectMilliseconds: number;
    readonly seedListMilliseconds: number;
    /** How long a dead member, or one that left, is remembered. */
    readonly forgetMilliseconds: number;
    /** How long an epoch of demand averaging lasts, and the part of it after which its values are used. */
    readonly demandEpochMilliseconds: number;
    readonly demandSettleMilliseconds: number;
}

export const defaultMembershipSettings: MembershipSettings = {
    probePeriodMilliseconds: 1_000,
    probeTimeoutMilliseconds: 500,
    indirectProbes: 2,
    suspicionMilliseconds: 1_500,
    foreignSuspicionMilliseconds: 1_500,
    forwardDelayMilliseconds: 20,
    piggybackRepeats: 4,
    maximumDeltas: 64,
    exchangeMilliseconds: 10_000,
    exchangeTimeoutMilliseconds: 2_000,
    reconnectMilliseconds: 10_000,
    seedListMilliseconds: 30_000,
    forgetMilliseconds: 600_000,
    demandEpochMilliseconds: 300_000,
    demandSettleMilliseconds: 90_000,
};

/** Notices that are remembered; the oldest are dropped. */
export const maximumNotices = 4_096;
/** Customers in one step of demand averaging. */
export const demandSliceCustomers = 40;
