/** Timing and limits of what a router keeps of backend servers. */

/** How often the subset, the links and the holdings are looked over. */
export const tickMilliseconds = 500;
/** A link without any event or heartbeat for this long makes its backend server unreachable. */
export const eventSilenceMilliseconds = 2_000;
/** Wait before an event stream that ended is observed again. */
export const resubscribeMilliseconds = 500;
/** How long a peer's word that a backend server failed is believed without own evidence. */
export const failedNoticeMilliseconds = 10_000;

export const vmListTimeoutMilliseconds = 1_000;
/** The shortest time between two reads of the platform's list. */
export const minimumPollMilliseconds = 1_000;
/** Rough size of one entry of the platform's list. */
export const vmEntryBytes = 120;
/** What a router spends on the platform's list, in bytes a second. */
export const vmListBytesPerSecond = 1_000;
/** Share by which the time between reads varies, so that routers do not read together. */
export const pollJitterShare = 0.2;
/** Reads of the list in which a backend server must be missing before it is forgotten. */
export const missingListsBeforeRemoval = 2;

export const holdingsTimeoutMilliseconds = 1_000;
/** Holdings that are read in one tick while some are unknown. */
export const unknownHoldingsPerTick = 100;
/** Holdings of servers outside the subset that are read again in one tick. */
export const refreshedHoldingsPerTick = 1;

/** Prefix blocks that are remembered over all backend servers. */
export const maximumPrefixBlocks = 50_000;
/** Leaving backend servers that are remembered, so that a list that lags cannot bring one back. */
export const maximumLeavingServers = 20_000;
