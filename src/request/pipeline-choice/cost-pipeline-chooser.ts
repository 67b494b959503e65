/**
 * Chooses the pipeline with the shortest expected completion time: network transfers, queueing and engine steps under
 * the present load, and prefill of the prefix that is not cached. Compares a few servers of each candidate group,
 * sampled by the flow split of the throughput bound. When servers are saturated, the path is drawn from that split.
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
import { sampleCandidates } from "./candidate-sampling.js";
import { toPipelineChoice } from "./chosen-pipeline.js";
import { affinityAttemptAllowance, affinityLoadFactor, samplesPerGroup, saturationWaitingShare } from "./constants.js";
import { sampleFlowPath } from "./flow-path-sampling.js";
import { findShortestPath, Phase, type SearchPath } from "./layered-search.js";
import { estimateLoad, type LoadEstimate, meanLoad } from "./load-estimate.js";
import { addStageOptions, type SearchContext, type StageOption } from "./stage-options.js";
import type { PipelineChoice, PipelineChooser, PipelineRequest } from "./types.js";

export interface PipelineChooserOptions {
    /** Location of this router. */
    readonly location: Location;
    readonly graphs: PipelineGraphs;
    readonly servers: BackendServerSource & { readonly prefixes: PrefixIndex; };
    readonly random: RandomSource;
    readonly logger: Logger;
}

const tokensPerBlock = prefixBlockCharacters / charactersPerToken;

/** A candidate with its present load and cached prefix. */
interface CandidateState {
    readonly candidate: Candidate;
    readonly load: LoadEstimate;
    /** Cached leading prompt blocks that count: 0 if the server is too loaded for prefix affinity. */
    readonly cachedBlocks: number;
}

interface SearchResult {
    readonly context: SearchContext;
    readonly options: readonly StageOption[];
    readonly path: SearchPath;
}

export class CostPipelineChooser implements PipelineChooser {
    private readonly candidateIndexes = new WeakMap<PipelineGraph, CandidateIndex>();

    constructor(private readonly options: PipelineChooserOptions) {}

    choose(request: PipelineRequest): PipelineChoice {
        const index = this.getCandidateIndex(this.options.graphs.get(request.model));
        const sampled = this.selectCandidates(index, request, samplesPerGroup);
        const shortest = this.findBestPath(index, request, sampled)
            ?? this.findBestPath(index, request, this.selectCandidates(index, request, Number.POSITIVE_INFINITY));
        if (shortest === undefined) {
            throw new NoPipelineError(request.model.name);
        }
        const sampledPath = isSaturated(shortest) ? this.drawFlowPath(shortest.context) : undefined;
        const { context, options, path } = sampledPath ?? shortest;
        const reason = sampledPath === undefined
            ? describeReason(shortest)
            : "split of the throughput bound, since servers are saturated";
        const choice = toPipelineChoice(context, options, path, reason);
        this.logDecision(request, choice);
        return choice;
    }

    private getCandidateIndex(graph: PipelineGraph): CandidateIndex {
        let index = this.candidateIndexes.get(graph);
        if (index === undefined) {
            index = buildCandidateIndex(graph, this.options.location, id => this.options.servers.get(id));
            this.candidateIndexes.set(graph, index);
        }
        return index;
    }

    /** Selects servers to compare: a sample of each group, and every usable server with KV cache for this request. */
    private selectCandidates(index: CandidateIndex, request: PipelineRequest, sampleSize: number): CandidateState[] {
        const now = monotonicNow();
        const isUsable = createUsabilityFilter(request, now);
        const cachedBlocksByServer = this.options.servers.prefixes.match(request.prefixBlocks);
        const survivingServers = new Set(request.survivingStages.map(stage => stage.backendServer));
        const candidates: CandidateState[] = [];
        for (const group of index.groups) {
            const mean = meanLoad(group.candidates);
            const chosen = new Set(sampleCandidates(group.candidates, isUsable, sampleSize, this.options.random));
            for (const candidate of group.candidates) {
                const { id } = candidate.server;
                if ((cachedBlocksByServer.has(id) || survivingServers.has(id)) && isUsable(candidate)) {
                    chosen.add(candidate);
                }
            }
            for (const candidate of chosen) {
                const load = estimateLoad(candidate, mean, now);
                const maximumAttempts = affinityLoadFactor * mean.attempts + affinityAttemptAllowance;
                const cachedBlocks = load.attempts <= maximumAttempts
                    ? cachedBlocksByServer.get(candidate.server.id) ?? 0
                    : 0;
                candidates.push({ candidate, load, cachedBlocks });
            }
        }
        return candidates;
    }

    /** The cheaper of two paths: one that reuses KV cache of earlier attempts, and one that uses prefix caches. */
    private findBestPath(
        index: CandidateIndex,
        request: PipelineRequest,
        candidates: readonly CandidateState[],
    ): SearchResult | undefined {
        const prefixBlockCount = longestCoveredPrefix(request.model.layerTotal, candidates);
        const prefixResult = this.findPathWithPrefix(
            index,
            { ...request, survivingStages: [] },
            candidates,
            prefixBlockCount,
        );
        if (request.survivingStages.length === 0) {
            return prefixResult;
        }
        const survivorResult = this.findPathWithPrefix(index, request, candidates, undefined);
        return prefixResult === undefined
                || (survivorResult !== undefined && survivorResult.path.cost <= prefixResult.path.cost)
            ? survivorResult
            : prefixResult;
    }

    /**
     * Finds the shortest path when only servers with at least `prefixBlockCount` cached blocks count as holding the
     * prefix. If it is undefined, prefix caches are ignored and only KV cache of earlier attempts counts.
     */
    private findPathWithPrefix(
        index: CandidateIndex,
        request: PipelineRequest,
        candidates: readonly CandidateState[],
        prefixBlockCount: number | undefined,
    ): SearchResult | undefined {
        const fullPrefillTokens = request.promptTokens + request.generatedTokens;
        const reusedTokens = prefixBlockCount === undefined ? fullPrefillTokens : prefixBlockCount * tokensPerBlock;
        const context: SearchContext = {
            request,
            index,
            boundaries: mergeBoundaries(index.graph.boundaries, request),
            fullPrefillTokens,
            uncachedTokens: Math.max(1, fullPrefillTokens - reusedTokens),
        };
        const options: StageOption[] = [];
        for (const { candidate, load, cachedBlocks } of candidates) {
            const hasCachedPrefix = prefixBlockCount !== undefined && prefixBlockCount > 0
                && cachedBlocks >= prefixBlockCount;
            addStageOptions(options, context, candidate, load, hasCachedPrefix);
        }
        const path = findShortestPath(this.createSearchProblem(context, options));
        return path === undefined ? undefined : { context, options, path };
    }

    /** Draws a path from the flow split of the throughput bound, for use when servers are saturated. */
    private drawFlowPath(context: SearchContext): SearchResult | undefined {
        const now = monotonicNow();
        const sampledPath = sampleFlowPath(context, {
            isUsable: createUsabilityFilter(context.request, now),
            currentLoad: candidate => estimateLoad(candidate, meanLoad(candidate.group.candidates), now),
            random: this.options.random,
        });
        return sampledPath === undefined ? undefined : { context, ...sampledPath };
    }

    private createSearchProblem(context: SearchContext, options: readonly StageOption[]) {
        const { graph, routerLatencyMilliseconds } = context.index;
        const { expectedTokens, model: { activationBytes } } = context.request;
        return {
            boundaries: context.boundaries,
            locationTotal: graph.locations.length,
            options,
            startCost: (location: number) => 2 * routerLatencyMilliseconds[location]!,
            linkCost: (from: number, to: number, phase: Phase) => {
                const tokens = phase === Phase.full ? context.fullPrefillTokens : context.uncachedTokens;
                const link = graph.link(from, to);
                return transferMilliseconds(link, tokens * activationBytes)
                    + expectedTokens * transferMilliseconds(link, activationBytes);
            },
            returnCost: (from: number, to: number) => (expectedTokens + 1) * graph.link(from, to).latencyMilliseconds,
        };
    }

    private logDecision(request: PipelineRequest, choice: PipelineChoice): void {
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

function createUsabilityFilter(request: PipelineRequest, now: number): (candidate: Candidate) => boolean {
    return ({ server, record }) =>
        record.isUsable(now) && !request.excluded.has(server.id) && server.role !== "prefill"
        && (request.adapter === undefined || server.adapters.includes(request.adapter));
}

/** Whether waiting dominates the cost even of the shortest path, and the request has no KV cache to reuse. */
function isSaturated({ context, options, path }: SearchResult): boolean {
    const { request, index } = context;
    const waitingMilliseconds = path.steps.reduce((sum, step) => sum + options[step.option]!.waitingMilliseconds, 0);
    const isUnconstrained = request.survivingStages.length === 0 && path.steps.every(step => step.phase === Phase.full);
    return isUnconstrained && index.graph.isBoundFastToCompute
        && waitingMilliseconds > saturationWaitingShare * path.cost;
}

/** Longest prefix, in blocks, for which the servers that have cached it cover every layer; 0 if there is none. */
function longestCoveredPrefix(layerTotal: number, candidates: readonly CandidateState[]): number {
    const holders = candidates.filter(({ cachedBlocks }) => cachedBlocks > 0)
        .sort((left, right) => left.candidate.server.layers.first - right.candidate.server.layers.first);
    const blockCounts = [...new Set(holders.map(({ cachedBlocks }) => cachedBlocks))].sort((left, right) =>
        right - left
    );
    for (const blockCount of blockCounts) {
        let coveredLayers = 0;
        for (const { candidate: { server: { layers } }, cachedBlocks } of holders) {
            if (cachedBlocks >= blockCount && layers.first <= coveredLayers) {
                coveredLayers = Math.max(coveredLayers, layers.last + 1);
            }
        }
        if (coveredLayers >= layerTotal) {
            return blockCount;
        }
    }
    return 0;
}

/** Adds the layer boundaries of the surviving stages' KV cache to the graph's boundaries. */
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

function describeReason({ context, options, path }: SearchResult): string {
    const cacheKinds = path.steps.map(step => options[step.option]!.cache?.kind ?? "computed");
    const cachedStages = path.steps.filter(step => step.phase === Phase.cached).length;
    const cacheSummary = context.request.survivingStages.length === 0
        ? `${cachedStages} stages with a cached prefix`
        : cacheKinds.join(", ");
    return `shortest expected completion, ${Math.round(path.cost)} ms; ${cacheSummary}`;
}
