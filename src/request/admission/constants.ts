/** Bounds of admission. */

/** Requests of one customer that may wait at a router. */
export const maximumQueuedRequests = 512;

/** Time from arrival to the first token that callers are promised. */
export const firstTokenTargetMilliseconds = 1_600;

/** Part of the first token's time that may be spent in the queue. */
export const maximumQueueMilliseconds = 1_200;

/** First-token times of the backend servers above this mean that they are given too much work. */
export const congestedFirstTokenMilliseconds = 800;

/** How often the token limit is adjusted. */
export const limitAdjustPeriodMilliseconds = 200;

export const limitDecreaseFactor = 0.9;
export const limitIncreaseShare = 0.03;

/** The limit rises only while at least this share of it is in use. */
export const limitUseForIncrease = 0.8;

export const minimumTokenLimit = 2_000;
