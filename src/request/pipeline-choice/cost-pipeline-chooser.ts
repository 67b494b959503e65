/**
 * Chooses the pipeline with the shortest expected completion: link time, queueing and steps under present load, and
 * the prefix that must be computed. Compares a few servers of each group, drawn by the throughput bound's split.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import { charactersPerToken, prefixBlockCharacters } from "../../domain/prefix-blocks.js";
import { type Location, transferMilliseconds } from "../../domain/topology.js";
import { NoPipelineError } from "../../errors/index.js";
import type { PrefixIndex } from "../../process/backend-servers/prefix-index.js";
import type { PipelineGraph } from "../../version/pipeline-graph/pipeline-graph.js";
import type { BackendServerSource, PipelineGraphs } from "../../version/pipeline-graph/pipeline-graphs.js";
import { buildCandidateIndex, type Candidate, type CandidateIndex } from "./candidate-index.js";
import { sampleGroup } from "./candidate-sampling.js";
import { toPipelineChoice } from "./chosen-pipeline.js";
import { affinityAttemptAllowance, affinityLoadFactor, choicesInGroup, saturatedWaitingShare } from "./constants.js";
import { drawFlowPath } from "./flow-guided-path.js";
import { findShortestPath, Phase, type SearchPath } from "./layered-search.js";
import { estimateLoad, type LoadEstimate, meanLoad } from "./load-estimate.js";
import { addStageOptions, type SearchTerms, type StageOption } from "./stage-options.js";
import type { PipelineChoice, PipelineChooser, PipelineRequest } from "./types.js";

export interface PipelineChooserOptions {
    /** The router's own location. */
    readonly location: Location;
    readonly graphs: PipelineGraphs;
    readonly servers: BackendServerSource & { readonly prefixes: PrefixIndex; };
    readonly random: RandomSource;
    readonly logger: Logger;
}

const tokensInBlock = prefixBlockCharacters / charactersPerToken;

interface LoadedCandidate {
    readonly candidate: Candidate;
    readonly load: LoadEstimate;
    /** Prefix blocks that count: 0 for a server that is too loaded for its belief to count. */
    readonly believedBlocks: number;
}

interface FoundPath {
    readonly terms: SearchTerms;
    readonly options: readonly StageOption[];
    readonly path: SearchPath;
}

export class CostPipelineChooser implements PipelineChooser {
    private readonly indexes = new WeakMap<PipelineGraph, CandidateIndex>();

    constructor(private readonly options: PipelineChooserOptions) {}

    choose(request: PipelineRequest): PipelineChoice {
        const index = this.index(this.options.graphs.get(request.model));
        const sampled = this.collect(index, request, choicesInGroup);
        const found = this.search(index, request, sampled)
            ?? this.search(index, request, this.collect(index, request, Number.POSITIVE_INFINITY));
        if (found === undefined) {
            throw new NoPipelineError(request.model.name);
        }
        const guided = isSaturated(found) ? this.guide(found.terms) : undefined;
        const { terms, options, path } = guided ?? found;
        const reason = guided === undefined
            ? reasonFor(found)
            : "split of the throughput bound, since servers are saturated";
        const choice = toPipelineChoice(terms, options, path, reason);
        this.log(request, choice);
        return choice;
    }

    private index(graph: PipelineGraph): CandidateIndex {
        let index = this.indexes.get(graph);
        if (index === undefined) {
            index = buildCandidateIndex(graph, this.options.location, id => this.options.servers.get(id));
            this.indexes.set(graph, index);
        }
        return index;
    }

    /** The servers to compare: some of each group, and those with KV cache of this request. */
    private collect(index: CandidateIndex, request: PipelineRequest, inGroup: number): LoadedCandidate[] {
        const now = monotonicNow();
        const isUsable = usableFor(request, now);
        const believed = this.options.servers.prefixes.match(request.prefixBlocks);
        const survivors = new Set(request.survivingStages.map(stage => stage.backendServer));
        const collected: LoadedCandidate[] = [];
        for (const group of index.groups) {
            const mean = meanLoad(group.candidates);
            const chosen = new Set(sampleGroup(group.candidates, isUsable, inGroup, this.options.random));
            for (const candidate of group.candidates) {
                const { id } = candidate.server;
                if ((believed.has(id) || survivors.has(id)) && isUsable(candidate)) {
                    chosen.add(candidate);
                }
            }
            for (const candidate of chosen) {
                const load = estimateLoad(candidate, mean, now);
                const bound = affinityLoadFactor * mean.attempts + affinityAttemptAllowance;
                const believedBlocks = load.attempts <= bound ? believed.get(candidate.server.id) ?? 0 : 0;
                collected.push({ candidate, load, believedBlocks });
            }
        }
        return collected;
    }

    /** The cheaper of the paths that use KV cache of earlier attempts, and of those that use cached prefixes. */
    private search(
        index: CandidateIndex,
        request: PipelineRequest,
        collected: readonly LoadedCandidate[],
    ): FoundPath | undefined {
        const blocks = coveringBlocks(request.model.layerTotal, collected);
        const byPrefix = this.searchWith(index, { ...request, survivingStages: [] }, collected, blocks);
        if (request.survivingStages.length === 0) {
            return byPrefix;
        }
        const bySurvivors = this.searchWith(index, request, collected, undefined);
        return byPrefix === undefined || (bySurvivors !== undefined && bySurvivors.path.cost <= byPrefix.path.cost)
            ? bySurvivors
            : byPrefix;
    }

    /** Searches with prefixes of at least the given blocks counted as held; undefined counts none. */
    private searchWith(
        index: CandidateIndex,
        request: PipelineRequest,
        collected: readonly LoadedCandidate[],
        blocks: number | undefined,
    ): FoundPath | undefined {
        const wholeTokens = request.promptTokens + request.generatedTokens;
        const heldTokens = blocks === undefined ? wholeTokens : blocks * tokensInBlock;
        const terms: SearchTerms = {
            request,
            index,
            boundaries: mergeBoundaries(index.graph.boundaries, request),
            wholeTokens,
            cachedTokens: Math.max(1, wholeTokens - heldTokens),
        };
        const options: StageOption[] = [];
        for (const { candidate, load, believedBlocks } of collected) {
            const believed = blocks !== undefined && blocks > 0 && believedBlocks >= blocks;
            addStageOptions(options, terms, candidate, load, believed);
        }
        const path = findShortestPath(this.problem(terms, options));
        return path === undefined ? undefined : { terms, options, path };
    }

    /** A path from the throughput bound's split, for servers that are saturated. */
    private guide(terms: SearchTerms): FoundPath | undefined {
        const now = monotonicNow();
        const guided = drawFlowPath(terms, {
            isUsable: usableFor(terms.request, now),
            load: candidate => estimateLoad(candidate, meanLoad(candidate.group.candidates), now),
            random: this.options.random,
        });
        return guided === undefined ? undefined : { terms, ...guided };
    }

    private problem(terms: SearchTerms, options: readonly StageOption[]) {
        const { graph, routerLatencies } = terms.index;
        const { expectedTokens, model: { activationBytes } } = terms.request;
        return {
            boundaries: terms.boundaries,
            locationTotal: graph.locations.length,
            options,
            startCost: (location: number) => 2 * routerLatencies[location]!,
            linkCost: (from: number, to: number, phase: Phase) => {
                const tokens = phase === Phase.whole ? terms.wholeTokens : terms.cachedTokens;
                const link = graph.link(from, to);
                return transferMilliseconds(link, tokens * activationBytes)
                    + expectedTokens * transferMilliseconds(link, activationBytes);
            },
            returnCost: (from: number, to: number) => (expectedTokens + 1) * graph.link(from, to).latencyMilliseconds,
        };
    }

    private log(request: PipelineRequest, choice: PipelineChoice): void {
        this.options.logger.decision({
            kind: "pipeline-choice",
            chosen: choice.plan.stages
                .map(stage => `${stage.backendServer}:${stage.layers.first}-${stage.layers.last}`).join(" "),
            over: choice.considered,
            reason: choice.reason,
            configurationVersion: this.options.graphs.configuration.version,
            requestId: request.requestId,
            fields: {
                model: request.model.name,
                planId: choice.plan.id,
                expectedFirstTokenMilliseconds: Math.round(choice.expectedFirstTokenMilliseconds),
                expectedTokenMilliseconds: Math.round(choice.expectedTokenMilliseconds),
                recomputedTokens: choice.recomputedTokens,
            },
        });
    }
}

function usableFor(request: PipelineRequest, now: number): (candidate: Candidate) => boolean {
    return ({ server, record }) =>
        record.isUsable(now) && !request.excluded.has(server.id) && server.role !== "prefill"
        && (request.adapter === undefined || server.adapters.includes(request.adapter));
}

/** Whether waiting outweighs computing although the path is the shortest, and nothing ties it to certain servers. */
function isSaturated({ terms, options, path }: FoundPath): boolean {
    const { request, index } = terms;
    const waiting = path.steps.reduce((sum, step) => sum + options[step.option]!.waitingMilliseconds, 0);
    const isFree = request.survivingStages.length === 0 && path.steps.every(step => step.phase === Phase.whole);
    return isFree && index.graph.boundIsQuick && waiting > saturatedWaitingShare * path.cost;
}

/** The most prefix blocks for which the servers that hold at least so many cover every layer; 0 for none. */
function coveringBlocks(layerTotal: number, collected: readonly LoadedCandidate[]): number {
    const holders = collected.filter(({ believedBlocks }) => believedBlocks > 0)
        .sort((left, right) => left.candidate.server.layers.first - right.candidate.server.layers.first);
    const levels = [...new Set(holders.map(({ believedBlocks }) => believedBlocks))].sort((left, right) =>
        right - left
    );
    for (const level of levels) {
        let reached = 0;
        for (const { candidate: { server: { layers } }, believedBlocks } of holders) {
            if (believedBlocks >= level && layers.first <= reached) {
                reached = Math.max(reached, layers.last + 1);
            }
        }
        if (reached >= layerTotal) {
            return level;
        }
    }
    return 0;
}

/** The graph's boundaries and the ends of the ranges whose KV cache is left. */
function mergeBoundaries(boundaries: readonly number[], request: PipelineRequest): readonly number[] {
    if (request.survivingStages.length === 0) {
        return boundaries;
    }
    const merged = new Set(boundaries);
    for (const { layers } of request.survivingStages) {
        merged.add(layers.first);
        merged.add(layers.last + 1);
    }
    return [...merged].sort((left, right) => left - right);
}

function reasonFor({ terms, options, path }: FoundPath): string {
    const caches = path.steps.map(step => options[step.option]!.cache?.kind ?? "computed");
    const cached = path.steps.filter(step => step.phase === Phase.cached).length;
    const prefix = terms.request.survivingStages.length === 0
        ? `${cached} stages with a cached prefix`
        : caches.join(", ");
    return `shortest expected completion, ${Math.round(path.cost)} ms; ${prefix}`;
}
