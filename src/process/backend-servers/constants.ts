/** Timeouts, intervals and limits of the backend server registry. */

/** Interval at which the subset, the event subscriptions and the holdings are checked. */
export const tickMilliseconds = 500;
/** A backend server whose event stream delivers no event or heartbeat for this long is marked unreachable. */
export const eventTimeoutMilliseconds = 2_000;
/** Delay before resubscribing to an event stream that ended or timed out. */
export const resubscribeMilliseconds = 500;
/**
 * Lifetime of an unreachable mark that was set after another router's notice, a failed connection or a failed read of
 * the holdings. A mark that was set by this router's own event subscription does not expire.
 */
export const unreachableExpiryMilliseconds = 10_000;

export const vmListTimeoutMilliseconds = 1_000;
/** Minimum interval between two reads of the VM list, before jitter. */
export const minimumPollMilliseconds = 1_000;
/** Approximate size of one entry of the VM list, in bytes. */
export const vmEntryBytes = 120;
/** Bandwidth budget of one router for reading the VM list, in bytes per second. */
export const vmListBytesPerSecond = 1_000;
/** Relative jitter of the poll interval in each direction, so that routers do not poll in step. */
export const pollJitterShare = 0.2;
/** Successive VM lists that must omit a backend server before it is removed. */
export const missingListsBeforeRemoval = 2;

export const readHoldingsTimeoutMilliseconds = 1_000;
/** A tick starts reads of unknown holdings only up to this number of pending reads. */
export const maximumPendingHoldingsReads = 100;
/** Number of servers without an event subscription whose known holdings are read again in each tick. */
export const refreshedHoldingsPerTick = 1;

/** Maximum number of prefix blocks in the index, over all backend servers. */
export const maximumPrefixBlocks = 50_000;
/** Maximum number of remembered leaving backend servers; prevents an outdated VM list from making one live again. */
export const maximumLeavingServers = 20_000;
