/** Bounds of admission. */

/** Requests of one customer that may wait at a router. */
export const maximumQueuedRequests = 512;

/** Time from arrival to the first token that callers are promised. */
export const firstTokenTargetMilliseconds = 1_600;

/** Part of the first token's time that may be spent in the queue. */
export const maximumQueueMilliseconds = 1_200;

/** First-token times of the backend servers above this mean that they are given too much work. */
export const congestedFirstTokenMilliseconds = 800;

/** Time between two tokens of an answer that callers are promised. */
export const tokenGapTargetMilliseconds = 78;

/** How often the token limit is adjusted. */
export const limitAdjustPeriodMilliseconds = 1_000;

/** The most by which the limit falls at once. */
export const limitDecreaseFactor = 0.85;
export const limitIncreaseShare = 0.08;

/** The limit rises only while first tokens and gaps are below this share of what is allowed. */
export const pressureForIncrease = 0.9;

/** Share of first tokens that may come late. */
export const lateShareAllowed = 0.1;

/** The limit rises only while at least this share of it is in use. */
export const limitUseForIncrease = 0.8;

export const minimumTokenLimit = 2_000;
