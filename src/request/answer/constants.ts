/** Bounds of answers and their recovery. */

/** Attempts at one answer, the first included. */
export const maximumAttempts = 12;

/** Attempts in a row that may fail without giving the caller a token. */
export const maximumFruitlessAttempts = 6;

/** The shortest time without a token that counts as a stall once tokens flow. */
export const minimumTokenStallMilliseconds = 500;

/** The longest time without a token that is borne once tokens flow. */
export const maximumTokenStallMilliseconds = 4_000;

/** The shortest time without a token that counts as a stall before an answer's first token. */
export const minimumFirstTokenStallMilliseconds = 1_200;

/** The shortest time without a token that counts as a stall after a resumption. */
export const minimumResumeStallMilliseconds = 600;

/** Expected times are multiplied by this before their absence counts as a stall. */
export const stallFactor = 4;

/** Time that a suspected backend server has to answer a probe over a new connection. */
export const probeTimeoutMilliseconds = 200;

/** The backoff step that is used while the retry budget is empty. */
export const budgetEmptyBackoffRetry = 4;

/** A token for another answer this long after a stalled answer's last one clears a backend server of blame. */
export const exonerationMilliseconds = 250;

/** Attempts in a row without a token after which the next one waits. */
export const freeFruitlessAttempts = 2;

/** The longest that an attempt may wait for its first token behind other answers. */
export const maximumQueueingMilliseconds = 6_000;
