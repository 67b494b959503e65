/** Default behaviour of a stand-in engine. */

/** Token jobs in one step at which the engine reaches its class's rate. */
export const fullBatchTokens = 32;
/** Cost of an empty step, as a share of a full one: reading the weights takes time whatever the batch. */
export const fixedStepShare = 0.5;
/** Tokens that one step takes on at most; longer prompts are computed in chunks. */
export const maximumStepTokens = 512;

export const defaultHeartbeatMilliseconds = 250;
export const defaultLoadReportMilliseconds = 250;
export const defaultLoadReportLagMilliseconds = 100;
export const defaultCacheEventDelayMilliseconds = 150;
/** Share of cache events that are lost. */
export const defaultCacheEventLossShare = 0.02;
/** How long KV cache is kept after its attempt ended. */
export const defaultCacheKeepMilliseconds = 30_000;
/** How long the first stage waits for a token before it asks which stage is at fault. */
export const defaultStageTimeoutMilliseconds = 2_000;
export const stageRequestTimeoutMilliseconds = 1_000;
export const defaultMaximumAttempts = 256;
export const defaultPrefixCacheBlocks = 4_096;
export const defaultLayerBytes = 100_000_000;
export const defaultActivationBytes = 16_384;
export const defaultCacheBytesPerTokenLayer = 4_096;
export const defaultCacheBytes = 16_000_000_000;
/** Runs that the record keeps before it drops the oldest half. */
export const recordLimit = 200_000;
/** How often an unload looks whether the layers are still in use. */
export const unloadPollMilliseconds = 20;
