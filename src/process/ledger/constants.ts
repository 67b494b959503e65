/** Sizes and times of the booking ledger. */

/** Fixed for the life of a deployment: a key's shard follows from it. */
export const shardTotal = 32;

/** Writes a second of the whole fleet, shared evenly by the shards. Other parts need some of the platform's 200. */
export const fleetWritesPerSecond = 150;

/** Writes that a shard may make at once after a quiet time. */
export const shardWriteBurst = 3;

/** How long outcomes wait for a claim to share a write with. */
export const outcomeDelayMilliseconds = 200;

/** How long a key is kept after its claim. */
export const retentionMilliseconds = 24 * 60 * 60 * 1_000;

/** Longest recorded answer; of a longer one only the status is kept. */
export const maximumAnswerBytes = 2_048;

/** Entries in one batch. With answers at their longest, a batch stays under the platform's limit for a value. */
export const maximumBatchEntries = 200;

/** Compressed bytes of a merged segment; under the platform's limit for a value. */
export const maximumSegmentBytes = 900_000;

/** Small segments that are merged into one; under the usual limit of operations in a transaction. */
export const segmentsPerMerge = 60;

/** Segments that one read of the log returns. */
export const segmentsPerRead = 100;

/** Records of one shard in memory; more claims are refused until older keys are forgotten. */
export const maximumRecordsPerShard = 60_000;

export const platformCallTimeoutMilliseconds = 1_000;
/** Wait after a failed write; doubled up to the maximum. */
export const retryDelayMilliseconds = 100;
export const maximumRetryDelayMilliseconds = 1_000;
/** Wait after a compare-and-swap that failed, before the batch is planned again. */
export const headMovedDelayMilliseconds = 10;

export const maintenanceMilliseconds = 60_000;

/** A shard that this router does not usually write is dropped from memory after this time without use. */
export const idleShardMilliseconds = 60_000;
