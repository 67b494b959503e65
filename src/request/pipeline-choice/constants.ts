/** Numbers of the cost model and of the choice. */

/** A step computes at the cost of at least this many tokens, since reading the weights takes time whatever the batch. */
export const minimumStepTokens = 16;
/** Age at which half of a load report's word is replaced by the mean of servers alike. */
export const reportHalfLifeMilliseconds = 1_000;
/** Servers alike that one choice compares. */
export const choicesInGroup = 2;
/** Share of layers that two ranges must have in common for their servers to count as alike. */
export const alikeLayerShare = 0.5;
/** A believed prefix counts only while a server has at most this many times the mean attempts of those alike. */
export const affinityLoadFactor = 1.25;
/** Attempts beyond that factor that are always allowed, so that idle servers may differ by whole attempts. */
export const affinityAttemptAllowance = 1;
/** Least weight of a server in sampling, as a share of the mean, so that each is tried at times. */
export const minimumSamplingShare = 0.1;
/** Draws of a path from the throughput bound's split before the choice falls back to the shortest path. */
export const flowPathDraws = 4;
/** Share of waiting in a shortest path's cost from which the servers count as saturated. */
export const saturatedWaitingShare = 0.5;
