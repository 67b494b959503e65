/** Intervals and timeouts of the configuration store. With them, a push reaches every router in less than 3 s. */

/** Interval at which a watching router polls the platform, and every router checks its peers' announcements. */
export const pollIntervalMilliseconds = 500;

/** Timeout of one call to the platform; longer than the poll interval, so that a slow platform can still be read. */
export const platformTimeoutMilliseconds = 2_500;

/** Polls that may be in progress at the same time while the platform is slow. */
export const maximumOutstandingPolls = 5;

export const peerTimeoutMilliseconds = 1_000;

/** How long a starting router waits for its first reads from the platform and its peers. */
export const startTimeoutMilliseconds = 3_000;

/** Combined poll rate of all routers that don't watch the platform, in case the watching routers can't reach it. */
export const fallbackPollsPerSecond = 60;

/** Successive polls that must show an older or conflicting head before the head is written again. */
export const inconsistentPollsBeforeRepair = 3;
