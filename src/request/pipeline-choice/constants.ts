/** Parameters of the cost model and of pipeline selection. */

/** Minimum cost of an engine step, in tokens: reading the weights takes the same time however small the batch is. */
export const minimumStepTokens = 16;
/** Age at which a load report and the mean load of the server's group count equally in the load estimate. */
export const reportHalfLifeMilliseconds = 1_000;
/** Servers sampled from each candidate group for one selection. */
export const samplesPerGroup = 2;
/** Minimum overlap of two layer ranges, as a fraction of their combined span, for their servers to share a group. */
export const minimumLayerOverlap = 0.5;
/**
 * A cached prefix is taken into account only while the server has at most this many times the mean number of attempts
 * of its group, plus `affinityAttemptAllowance`.
 */
export const affinityLoadFactor = 1.25;
/** Attempts allowed on top of that factor, so that nearly idle servers may differ by a whole attempt. */
export const affinityAttemptAllowance = 1;
/** Minimum sampling weight of a server group, as a fraction of the mean, so that every server is still sampled. */
export const minimumSamplingShare = 0.1;
/** Paths drawn from the throughput bound's flow split before selection falls back to the shortest path. */
export const maximumFlowPathDraws = 4;
/** Servers count as saturated once waiting makes up more than this fraction of the shortest path's cost. */
export const saturationWaitingShare = 0.5;
