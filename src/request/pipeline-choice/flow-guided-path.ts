/**
 * A path drawn from the throughput bound's split. While servers have little to do, the shortest expected completion is
 * best for each request; once waiting outweighs computing, only a split over all ways reaches the bound, also over
 * those that look longer to each single request.
 */
import type { RandomSource } from "../../common/random.js";
import type { FlowPath } from "../../version/pipeline-graph/types.js";
import type { Candidate } from "./candidate-index.js";
import { sampleGroup } from "./candidate-sampling.js";
import { choicesInGroup, flowPathDraws } from "./constants.js";
import { Phase, type SearchPath } from "./layered-search.js";
import type { LoadEstimate } from "./load-estimate.js";
import { type SearchTerms, StageOption } from "./stage-options.js";

export interface FlowGuide {
    isUsable(candidate: Candidate): boolean;
    load(candidate: Candidate): LoadEstimate;
    readonly random: RandomSource;
}

/** A path with its own options, one for each step. */
export interface GuidedPath {
    readonly options: readonly StageOption[];
    readonly path: SearchPath;
}

/**
 * A path drawn in proportion to the split; undefined when those drawn can't be used now. Comparing two drawn paths and
 * taking the less loaded one would bend the proportions, and did worse in the throughput benchmark.
 */
export function drawFlowPath(terms: SearchTerms, guide: FlowGuide): GuidedPath | undefined {
    for (let draw = 0; draw < flowPathDraws; draw++) {
        const drawn = drawPath(terms.index.graph.bound.paths, guide.random);
        const guided = drawn === undefined ? undefined : usePath(terms, drawn, guide);
        if (guided !== undefined) {
            return guided;
        }
    }
    return undefined;
}

function drawPath(paths: readonly FlowPath[], random: RandomSource): FlowPath | undefined {
    let point = random.next() * paths.reduce((sum, path) => sum + path.tokensPerSecond, 0);
    for (const path of paths) {
        point -= path.tokensPerSecond;
        if (point < 0) {
            return path;
        }
    }
    return paths.at(-1);
}

/** Takes, for each step, the server of its group with the least work for its speed among a few. */
function usePath(terms: SearchTerms, drawn: FlowPath, guide: FlowGuide): GuidedPath | undefined {
    const options: StageOption[] = [];
    for (const step of drawn.steps) {
        const candidates = terms.index.graphGroups[step.group]!;
        const sampled = sampleGroup(candidates, candidate => guide.isUsable(candidate), choicesInGroup, guide.random);
        let best: StageOption | undefined;
        for (const candidate of sampled) {
            const { firstBoundary, endBoundary } = step;
            const load = guide.load(candidate);
            const option = new StageOption(terms, candidate, load, firstBoundary, endBoundary, false, undefined, 0);
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
        phase: Phase.whole,
    }));
    const cost = options.reduce((sum, option) => sum + option.waitingMilliseconds, 0);
    return { options, path: { cost, steps } };
}
