/** Limits, targets and control parameters of admission. */

/** Maximum number of requests of one customer in the queue of one router. */
export const maximumQueuedRequests = 512;

/** Target for the time from a request's arrival to its first token, as promised to callers. */
export const firstTokenTargetMilliseconds = 1_600;

/** Part of the first-token target that a request may spend in the queue. */
export const maximumQueueMilliseconds = 1_200;

/** A longer time from dispatch to the first token indicates that the backend servers are overloaded. */
export const congestedFirstTokenMilliseconds = 800;

/** Target for the time between two tokens of an answer, as promised to callers. */
export const tokenGapTargetMilliseconds = 78;

/** Minimum time between two adjustments of the token limit. */
export const limitAdjustPeriodMilliseconds = 1_000;

/** Smallest factor by which one adjustment multiplies the limit when it decreases. */
export const limitDecreaseFactor = 0.85;
/** Fraction by which one adjustment raises the limit. */
export const limitIncreaseShare = 0.08;

/** The limit rises only while late first tokens and token gaps are below this fraction of what is allowed. */
export const maximumPressureForIncrease = 0.9;

/** The limit decreases if more than this fraction of the first tokens is late; a refused attempt counts as late. */
export const maximumLateShare = 0.1;

/** The limit rises only if at least this fraction of it was in use at some time since the last adjustment. */
export const minimumUseForIncrease = 0.8;

export const minimumTokenLimit = 2_000;
