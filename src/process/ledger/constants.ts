/** Limits, intervals and timeouts of the booking ledger. */

/** Number of shards. Must not change during the life of a deployment, since it determines the shard of each key. */
export const shardTotal = 32;

/**
 * Ledger writes per second of all routers, divided evenly among the shards. The platform allows 200 writes per second;
 * other components need the rest.
 */
export const fleetWritesPerSecond = 150;

/** Burst size of a shard's write rate limit. */
export const shardWriteBurst = 3;

/** Delay of a batch that contains only outcomes, so that a claim can share its write. */
export const outcomeDelayMilliseconds = 200;

/** Retention period of a key, counted from its claim. */
export const keyRetentionMilliseconds = 24 * 60 * 60 * 1_000;

/** Maximum size of a recorded answer; of a larger answer only the status is recorded. */
export const maximumAnswerBytes = 2_048;

/**
 * Maximum entries per batch. Even with answers of maximum size, a batch stays under the platform's limit for a value.
 */
export const maximumBatchEntries = 200;

/** Maximum compressed size of a merged segment; under the platform's limit for a value. */
export const maximumSegmentBytes = 900_000;

/** Maximum segments per merge or deletion; under the usual limit of operations in a transaction. */
export const segmentsPerMerge = 60;

/** Page size of log reads, in segments. */
export const segmentsPerRead = 100;

/** Maximum records of one shard in memory; further claims are refused until older keys expire. */
export const maximumRecordsPerShard = 60_000;

export const platformCallTimeoutMilliseconds = 1_000;
/** Initial delay after a failed write; doubled on each retry up to the maximum. */
export const retryDelayMilliseconds = 100;
export const maximumRetryDelayMilliseconds = 1_000;
/** Delay after a failed compare-and-swap before the batch is planned again. */
export const headConflictDelayMilliseconds = 10;

export const maintenanceIntervalMilliseconds = 60_000;

/** Idle time after which a shard that another router owns is removed from memory. */
export const shardIdleTimeoutMilliseconds = 60_000;
