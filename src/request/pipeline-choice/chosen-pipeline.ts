/** Turns a path into a plan, with what is expected of it. */
import { randomUUID } from "node:crypto";
import { PipelinePlan, type Stage } from "../../domain/pipeline-plan.js";
import { transferMilliseconds } from "../../domain/topology.js";
import { type PathStep, Phase, type SearchPath } from "./layered-search.js";
import type { SearchTerms, StageOption } from "./stage-options.js";
import type { PipelineChoice } from "./types.js";

export function toPipelineChoice(
    terms: SearchTerms,
    options: readonly StageOption[],
    path: SearchPath,
    reason: string,
): PipelineChoice {
    const { model } = terms.request;
    const stages = path.steps.map(step => toStage(terms, options[step.option]!, step));
    const plan = new PipelinePlan(randomUUID(), model.name, model.layerTotal, stages);
    const considered = [...new Set(options.map(option => option.candidate.server.id))];
    return { plan, ...expectation(terms, options, path.steps), considered, reason };
}

function toStage({ boundaries }: SearchTerms, option: StageOption, step: PathStep): Stage {
    const { id, address } = option.candidate.server;
    const layers = { first: boundaries[step.firstBoundary]!, last: boundaries[step.endBoundary]! - 1 };
    return option.cache === undefined
        ? { backendServer: id, address, layers }
        : { backendServer: id, address, layers, cache: option.cache };
}

function expectation(terms: SearchTerms, options: readonly StageOption[], steps: readonly PathStep[]) {
    const { graph, routerLatencies } = terms.index;
    const { activationBytes } = terms.request.model;
    const locations = steps.map(step => options[step.option]!.location);
    let first = 2 * routerLatencies[locations[0]!]!;
    let token = graph.link(locations.at(-1)!, locations[0]!).latencyMilliseconds;
    first += token;
    let recomputedTokens = 0;
    steps.forEach((step, index) => {
        const option = options[step.option]!;
        const layers = terms.boundaries[step.endBoundary]! - terms.boundaries[step.firstBoundary]!;
        const isWhole = step.phase === Phase.whole;
        first += option.latestFirstMilliseconds
            + layers * option.layerFirstMilliseconds(terms, step.phase);
        token += option.latestTokenMilliseconds + layers * option.layerTokenMilliseconds;
        recomputedTokens = Math.max(recomputedTokens, isWhole ? terms.wholeTokens : terms.cachedTokens);
        if (index > 0) {
            const link = graph.link(locations[index - 1]!, locations[index]!);
            const wasWhole = steps[index - 1]!.phase === Phase.whole;
            const tokens = wasWhole ? terms.wholeTokens : terms.cachedTokens;
            first += transferMilliseconds(link, tokens * activationBytes);
            token += transferMilliseconds(link, activationBytes);
        }
    });
    return { expectedFirstTokenMilliseconds: first, expectedTokenMilliseconds: token, recomputedTokens };
}
