/**
 * Draws paths from the flow split of the throughput bound: how the largest rate that the servers and links can carry is
 * divided over the paths through the server groups. Under light load the path with the shortest expected
 * completion time is best for each request. Once waiting dominates, maximum throughput is reached only by splitting
 * requests over all paths, including paths that look slower to a single request.
 */
import type { RandomSource } from "../../common/random.js";
import type { FlowPath } from "../../version/pipeline-graph/types.js";
import type { Candidate } from "./candidate-index.js";
import { sampleCandidates } from "./candidate-sampling.js";
import { maximumFlowPathDraws, samplesPerGroup } from "./constants.js";
import { Phase, type SearchPath } from "./layered-search.js";
import type { LoadEstimate } from "./load-estimate.js";
import { type SearchContext, StageOption } from "./stage-options.js";

/** Inputs for turning a drawn path into one with concrete servers. */
export interface FlowPathInputs {
    isUsable(candidate: Candidate): boolean;
    currentLoad(candidate: Candidate): LoadEstimate;
    readonly random: RandomSource;
}

/** A sampled path with one stage option per step. */
export interface SampledPath {
    readonly options: readonly StageOption[];
    readonly path: SearchPath;
}

/**
 * Draws a path with probability proportional to its rate in the flow split; undefined if no drawn path has a usable
 * server for every step. Drawing two paths and taking the less loaded one would distort the split's proportions and
 * gave worse results in the throughput benchmark.
 */
export function sampleFlowPath(context: SearchContext, inputs: FlowPathInputs): SampledPath | undefined {
    for (let draw = 0; draw < maximumFlowPathDraws; draw++) {
        const drawn = drawWeightedPath(context.index.graph.bound.paths, inputs.random);
        const assigned = drawn === undefined ? undefined : assignServers(context, drawn, inputs);
        if (assigned !== undefined) {
            return assigned;
        }
    }
    return undefined;
}

function drawWeightedPath(paths: readonly FlowPath[], random: RandomSource): FlowPath | undefined {
    let remainingRate = random.next() * paths.reduce((sum, path) => sum + path.tokensPerSecond, 0);
    for (const path of paths) {
        remainingRate -= path.tokensPerSecond;
        if (remainingRate < 0) {
            return path;
        }
    }
    return paths.at(-1);
}

/** Assigns to each step the server with the lowest entry cost among a sample of the step's group. */
function assignServers(context: SearchContext, drawn: FlowPath, inputs: FlowPathInputs): SampledPath | undefined {
    const options: StageOption[] = [];
    for (const step of drawn.steps) {
        const candidates = context.index.candidatesByGraphGroup[step.group]!;
        const sampled = sampleCandidates(
            candidates,
            candidate => inputs.isUsable(candidate),
            samplesPerGroup,
            inputs.random,
        );
        let best: StageOption | undefined;
        for (const candidate of sampled) {
            const { firstBoundary, endBoundary } = step;
            const load = inputs.currentLoad(candidate);
            const option = new StageOption(context, candidate, load, firstBoundary, endBoundary, false, undefined, 0);
            if (best === undefined || option.entryCost < best.entryCost) {
                best = option;
            }
        }
        if (best === undefined) {
            return undefined;
        }
        options.push(best);
    }
    const steps = drawn.steps.map(({ firstBoundary, endBoundary }, option) => ({
        option,
        firstBoundary,
        endBoundary,
        phase: Phase.full,
    }));
    const cost = options.reduce((sum, option) => sum + option.waitingMilliseconds, 0);
    return { options, path: { cost, steps } };
}
