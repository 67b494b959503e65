/** Times of the configuration store. They add up to less than 3 s from a push to every router. */

/** Time between two looks at the platform by a router that watches it, and at peers by every router. */
export const pollMilliseconds = 500;

/** Longer than the poll, so that a slow platform is still read. */
export const platformTimeoutMilliseconds = 2_500;

/** Polls that may wait for a slow platform at the same time. */
export const maximumOutstandingPolls = 5;

export const peerTimeoutMilliseconds = 1_000;

/** A router that starts waits this long for a first version from the platform or its peers. */
export const startTimeoutMilliseconds = 3_000;

/** All routers that do not watch the platform poll it at this rate together, in case the watching ones can't reach it. */
export const backstopPollsPerSecond = 60;

/** Polls in a row that must show an older head before it is written again. */
export const olderHeadsBeforeRestore = 3;
