/** Limits and timeouts of answers and their recovery. */

/** Maximum number of attempts for one answer, including the first. */
export const maximumAttempts = 12;

/** An answer fails when this many attempts have failed since the caller's last new token. */
export const maximumFailuresSinceToken = 6;

/**
 * Lower bound of the stall timeout after an attempt's first token. Also how recently a backend server must have
 * delivered a token of any answer for a waiting attempt to count as queued.
 */
export const minimumTokenStallMilliseconds = 500;

/** Upper bound of the stall timeout after an attempt's first token. */
export const maximumTokenStallMilliseconds = 4_000;

/** Lower bound of the stall timeout before the first token of an answer's first attempt. */
export const minimumFirstTokenStallMilliseconds = 1_200;

/** Lower bound of the stall timeout before the first token of any later attempt. */
export const minimumResumeStallMilliseconds = 600;

/** Stall timeouts are at least this multiple of the expected time to the next token, up to the upper bound. */
export const stallFactor = 4;

/** How long a stage of a stalled or silent attempt may take to answer a probe. */
export const probeTimeoutMilliseconds = 200;

/** Exponent of the backoff while the retry budget is empty; being constant, it keeps the mean wait constant. */
export const emptyBudgetBackoffExponent = 4;

/**
 * A backend server is not suspected if it delivered a token of another answer more than this long after the stalled
 * attempt's last progress, unless that holds for every stage.
 */
export const healthyTokenMarginMilliseconds = 250;

/**
 * Number of failed attempts since the caller's last new token that are retried at once. Later retries back off, and so
 * do all retries after an overload.
 */
export const failuresWithoutBackoff = 2;

/** How long an attempt without a token may count as queued behind other answers instead of stalled. */
export const maximumQueueingMilliseconds = 6_000;
