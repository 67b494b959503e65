/** Defaults and limits of a stand-in engine. */

/** Tokens per step from which the engine reaches the full throughput of its class. */
export const fullBatchTokens = 32;
/** Fixed cost of a step as a share of a full step: reading the weights takes time for any batch size. */
export const fixedStepCostShare = 0.5;
/** Maximum tokens per step; longer prompts are computed in several steps. */
export const maximumStepTokens = 512;

export const defaultHeartbeatMilliseconds = 250;
export const defaultLoadReportMilliseconds = 250;
export const defaultLoadReportDelayMilliseconds = 100;
export const defaultCacheEventDelayMilliseconds = 150;
/** Share of cache events that are lost. */
export const defaultCacheEventLossShare = 0.02;
/** Retention period of an attempt's KV cache after the attempt ends. */
export const defaultCacheRetentionMilliseconds = 30_000;
/** Time without a token after which the first stage pings the other stages to find one that failed. */
export const defaultStageTimeoutMilliseconds = 2_000;
export const stageRequestTimeoutMilliseconds = 1_000;
export const defaultMaximumAttempts = 256;
export const defaultPrefixCacheBlocks = 4_096;
export const defaultLayerBytes = 100_000_000;
export const defaultActivationBytes = 16_384;
export const defaultCacheBytesPerTokenLayer = 4_096;
export const defaultCacheBytes = 16_000_000_000;
/** Maximum number of attempts, and of runs, in an engine's record; beyond it the oldest half is dropped. */
export const maximumRecordEntries = 200_000;
/** Interval at which an unload checks whether the layers are still in use. */
export const unloadPollMilliseconds = 20;
