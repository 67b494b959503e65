/** Limits and times of placement. */

/** Share of a backend server's memory that weights may take; the rest is for KV cache. */
export const weightMemoryShare = 0.7;
/** Share of the fleet's compute that a model without demand is planned for. */
export const minimumModelShare = 0.01;
/** A plan that keeps what is loaded is taken when it carries at least this share of a plan made afresh. */
export const keepPlanShare = 0.95;
/** A bucket gives servers away only when it has this much more than its target. */
export const surplusShare = 1.15;
/** Capacity that a layout may lose to uneven stages before fewer, longer pipelines are tried. */
export const layoutLossShare = 0.02;
/** Pipelines of one model in one availability zone below which roles are not split. */
export const minimumPipelinesForRoles = 4;

/** Time after which planning lets other work run. */
export const planningSliceMilliseconds = 1;

export const leaseTimeToLiveMilliseconds = 10_000;
/** The holder stops ordering this long before its lease may lapse. */
export const leaseMarginMilliseconds = 1_000;
export const leaseRenewMilliseconds = 2_500;
export const leaseRetryMilliseconds = 1_500;
export const platformTimeoutMilliseconds = 1_000;
/** Largest difference between two clocks over one lease term. */
export const clockErrorMilliseconds = 250;

/** Deadline of an order, without the time that its weights need. */
export const orderTimeoutMilliseconds = 5_000;
/** Longest deadline of an order, unless some load needs more; a new holder waits this long for the old one's last. */
export const longestOrderMilliseconds = 30_000;
/** The longest deadline allows this many times what the largest load needs. */
export const longestLoadAllowance = 1.5;
/** A load's deadline allows this many times the time that its weights need. */
export const loadTimeAllowance = 4;
export const readHoldingsTimeoutMilliseconds = 1_000;
export const maximumConcurrentOrders = 64;
/** Share of a model's backend servers that may be without it at once during a planned change. */
export const withdrawnShare = 0.1;
/** Age at which what a backend server was last read to hold is read again. */
export const holdingsAgeMilliseconds = 60_000;
/** Time for which a backend server that does not answer is still planned with. */
export const unreachableGraceMilliseconds = 10_000;
export const orderAttemptLimit = 3;
export const orderRetryMilliseconds = 200;
/** Time between two looks at the fleet when nothing has changed. */
export const observeIntervalMilliseconds = 2_000;
