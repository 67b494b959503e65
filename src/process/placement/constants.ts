/** Limits, ratios and times of placement. */

/** Share of a backend server's memory that is available for weights; the rest is reserved for the KV cache. */
export const weightMemoryShare = 0.7;
/** Minimum share of the fleet's compute, before normalization, for a model with little or no demand. */
export const minimumModelShare = 0.01;
/**
 * The plan that keeps the current holdings is chosen if its efficiency is at least this share of a rebuilt plan's, and
 * as many models survive the loss of an availability zone. Nothing is rebuilt if its efficiency is at least this and
 * every model survives such a loss.
 */
export const keepPlanEfficiencyRatio = 0.95;
/** A model releases pipelines in a zone only if its capacity there exceeds its target by more than this factor. */
export const releaseThresholdRatio = 1.15;
/** Share of the capacity that a layout may lose to uneven stages before fewer, longer pipelines are tried. */
export const layoutLossTolerance = 0.02;
/** Minimum number of pipelines of a model in an availability zone for dividing them into prefill and decode. */
export const minimumPipelinesForRoles = 4;

/** Time after which planning yields to the event loop. */
export const planningSliceMilliseconds = 1;

export const leaseTimeToLiveMilliseconds = 10_000;
/** The holder stops sending orders this long before its lease may expire. */
export const leaseMarginMilliseconds = 1_000;
export const leaseRenewMilliseconds = 2_500;
export const leaseRetryMilliseconds = 1_500;
export const platformTimeoutMilliseconds = 1_000;
/** Maximum difference that builds up between two clocks over one lease term. */
export const maximumClockDriftMilliseconds = 250;

/** Timeout of an order, without the time for loading its weights. */
export const orderTimeoutMilliseconds = 5_000;
/**
 * Default limit of an order's timeout; raised if the largest load needs longer. A new holder waits this long for the
 * last orders of the previous one.
 */
export const longestOrderMilliseconds = 30_000;
/** The limit of an order's timeout includes this multiple of the largest load's expected time. */
export const longestOrderLoadFactor = 1.5;
/** A load's timeout includes this multiple of its expected time. */
export const loadTimeoutFactor = 4;
export const readHoldingsTimeoutMilliseconds = 1_000;
/** Maximum number of orders in progress, and of holdings reads in progress. */
export const maximumConcurrentOrders = 64;
/** Share of a model's backend servers that may have unloaded it at the same time in order to load other layers. */
export const maximumUnavailableShare = 0.1;
/** Age after which a cached holdings report is read again. */
export const maximumHoldingsAgeMilliseconds = 60_000;
/** Time for which a backend server that does not answer remains in the planner's input. */
export const unreachableGraceMilliseconds = 10_000;
export const orderAttemptLimit = 3;
/** Delay before an unanswered order is sent again; also before planning again after a change during the last cycle. */
export const orderRetryMilliseconds = 200;
/** Interval between planning cycles if nothing has changed. */
export const planningIntervalMilliseconds = 2_000;
