/** Converts a search path into a pipeline plan with its latency estimates. */
import { randomUUID } from "node:crypto";
import { PipelinePlan, type Stage } from "../../domain/pipeline-plan.js";
import { transferMilliseconds } from "../../domain/topology.js";
import { type PathStep, Phase, type SearchPath } from "./layered-search.js";
import type { SearchContext, StageOption } from "./stage-options.js";
import type { PipelineChoice } from "./types.js";

export function toPipelineChoice(
    context: SearchContext,
    options: readonly StageOption[],
    path: SearchPath,
    reason: string,
): PipelineChoice {
    const { model } = context.request;
    const stages = path.steps.map(step => toStage(context, options[step.option]!, step));
    const plan = new PipelinePlan(randomUUID(), model.name, model.layerTotal, stages);
    const considered = [...new Set(options.map(option => option.candidate.server.id))];
    return { plan, ...estimateLatency(context, options, path.steps), considered, reason };
}

function toStage({ boundaries }: SearchContext, option: StageOption, step: PathStep): Stage {
    const { id, address } = option.candidate.server;
    const layers = { first: boundaries[step.firstBoundary]!, last: boundaries[step.endBoundary]! - 1 };
    return option.cache === undefined
        ? { backendServer: id, address, layers }
        : { backendServer: id, address, layers, cache: option.cache };
}

/** Upper estimates of the latencies under the present load, and the most prefix tokens that any stage computes. */
function estimateLatency(context: SearchContext, options: readonly StageOption[], steps: readonly PathStep[]) {
    const { graph, routerLatencyMilliseconds } = context.index;
    const { activationBytes } = context.request.model;
    const locations = steps.map(step => options[step.option]!.location);
    let firstTokenMilliseconds = 2 * routerLatencyMilliseconds[locations[0]!]!;
    let tokenMilliseconds = graph.link(locations.at(-1)!, locations[0]!).latencyMilliseconds;
    firstTokenMilliseconds += tokenMilliseconds;
    let recomputedTokens = 0;
    steps.forEach((step, index) => {
        const option = options[step.option]!;
        const layers = context.boundaries[step.endBoundary]! - context.boundaries[step.firstBoundary]!;
        const isFullPrefill = step.phase === Phase.full;
        firstTokenMilliseconds += option.worstCaseFirstTokenMilliseconds
            + layers * option.layerFirstTokenMilliseconds(context, step.phase);
        tokenMilliseconds += option.worstCaseTokenMilliseconds + layers * option.layerTokenMilliseconds;
        recomputedTokens = Math.max(
            recomputedTokens,
            isFullPrefill ? context.fullPrefillTokens : context.uncachedTokens,
        );
        if (index > 0) {
            const link = graph.link(locations[index - 1]!, locations[index]!);
            const previousIsFullPrefill = steps[index - 1]!.phase === Phase.full;
            const tokens = previousIsFullPrefill ? context.fullPrefillTokens : context.uncachedTokens;
            firstTokenMilliseconds += transferMilliseconds(link, tokens * activationBytes);
            tokenMilliseconds += transferMilliseconds(link, activationBytes);
        }
    });
    return {
        expectedFirstTokenMilliseconds: firstTokenMilliseconds,
        expectedTokenMilliseconds: tokenMilliseconds,
        recomputedTokens,
    };
}
