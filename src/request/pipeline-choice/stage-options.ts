/** Options of a path search: each server without reused KV cache, and with KV cache of an earlier attempt. */
import { monotonicNow } from "../../common/clock.js";
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { CacheSource } from "../../domain/pipeline-plan.js";
import { transferMilliseconds } from "../../domain/topology.js";
import type { Candidate, CandidateIndex } from "./candidate-index.js";
import { minimumStepTokens } from "./constants.js";
import { Phase, type SearchOption } from "./layered-search.js";
import type { LoadEstimate } from "./load-estimate.js";
import type { PipelineRequest, SurvivingStage } from "./types.js";

/** Inputs shared by all options of one search. */
export interface SearchContext {
    readonly request: PipelineRequest;
    readonly index: CandidateIndex;
    /** Layers at which the path may change servers, in ascending order. */
    readonly boundaries: readonly number[];
    /** Tokens that a stage computes before the first new token if it does not hold the prefix. */
    readonly fullPrefillTokens: number;
    /** Tokens that a stage computes before the first new token if it holds the cached prefix. */
    readonly uncachedTokens: number;
}

/** KV cache of an earlier attempt that a server can reuse, and the time to import it. */
interface ReusableCache {
    readonly layers: LayerRange;
    readonly cache: CacheSource | undefined;
    readonly importMilliseconds: number;
}

/** A search option with the cost model of its stage. */
export class StageOption implements SearchOption {
    readonly location: number;
    readonly entryCost: number;
    readonly cachedLayerCost: number | undefined;
    readonly fullLayerCost: number;
    private readonly prefillTokens: number;
    private readonly totalTokens: number;
    /** Delay that other attempts on the server add to each token of this request. */
    private readonly backlogTokenMilliseconds: number;

    constructor(
        context: SearchContext,
        readonly candidate: Candidate,
        private readonly load: LoadEstimate,
        readonly firstBoundary: number,
        readonly endBoundary: number,
        hasCachedPrefix: boolean,
        readonly cache: CacheSource | undefined,
        private readonly importMilliseconds: number,
    ) {
        const { expectedTokens } = context.request;
        const decodeLayerCost = expectedTokens * this.layerTokenMilliseconds;
        this.prefillTokens = context.fullPrefillTokens;
        this.totalTokens = context.fullPrefillTokens + expectedTokens;
        this.backlogTokenMilliseconds = estimateBacklogTokenMilliseconds(candidate, load, this.totalTokens);
        this.location = candidate.location;
        this.entryCost = this.entryFirstTokenMilliseconds + expectedTokens * this.entryTokenMilliseconds;
        this.fullLayerCost = this.layerFirstTokenMilliseconds(context, Phase.full) + decodeLayerCost;
        this.cachedLayerCost = hasCachedPrefix
            ? this.layerFirstTokenMilliseconds(context, Phase.cached) + decodeLayerCost
            : undefined;
    }

    /** Part of the time to the first token that does not depend on the stage's layers: cache import and backlog. */
    get entryFirstTokenMilliseconds(): number {
        return this.importMilliseconds + this.prefillTokens * this.backlogTokenMilliseconds;
    }

    /** Delay that other attempts on the server add to each later token. */
    get entryTokenMilliseconds(): number {
        return this.backlogTokenMilliseconds;
    }

    /**
     * Upper estimate of the time to the first token, excluding this stage's own layers: all pending work on the server
     * runs first. It serves to tell a slow stage from a failed one.
     */
    get worstCaseFirstTokenMilliseconds(): number {
        const { pendingTokens, stepMilliseconds } = this.load;
        const { server } = this.candidate;
        const queueMilliseconds = pendingTokens * layerCount(server.layers) * 1000 / server.layerTokensPerSecond;
        return this.importMilliseconds + queueMilliseconds + stepMilliseconds;
    }

    /** Upper estimate of the delay of one later token, which may have to wait for a whole engine step. */
    get worstCaseTokenMilliseconds(): number {
        return Math.max(this.backlogTokenMilliseconds, this.load.stepMilliseconds);
    }

    /** Total delay of the request that is caused by other attempts on the server. */
    get waitingMilliseconds(): number {
        return this.totalTokens * this.backlogTokenMilliseconds;
    }

    /** Time that one layer adds to each later token. */
    get layerTokenMilliseconds(): number {
        return minimumStepTokens * 1000 / this.candidate.server.layerTokensPerSecond;
    }

    /** Time that one layer adds to the first token. */
    layerFirstTokenMilliseconds(context: SearchContext, phase: Phase): number {
        const tokens = phase === Phase.full ? context.fullPrefillTokens : context.uncachedTokens;
        return Math.max(minimumStepTokens, tokens) * 1000 / this.candidate.server.layerTokensPerSecond;
    }
}

/**
 * Delay per token of a request of `tokens` tokens that is caused by other attempts on the server. Engines use
 * continuous batching, so attempts share the server: while this request runs, each other attempt computes at most as
 * many tokens as this request, and no more than it has pending.
 */
function estimateBacklogTokenMilliseconds({ server }: Candidate, load: LoadEstimate, tokens: number): number {
    const sharedTokens = Math.min(load.pendingTokens, load.attempts * tokens);
    return sharedTokens * layerCount(server.layers) * 1000 / server.layerTokensPerSecond / Math.max(1, tokens);
}

/** Appends the options of one server: without reused KV cache, and with the KV cache of each surviving stage. */
export function addStageOptions(
    options: StageOption[],
    context: SearchContext,
    candidate: Candidate,
    load: LoadEstimate,
    hasCachedPrefix: boolean,
): void {
    const { survivingStages: surviving } = context.request;
    if (candidate.server.role !== "decode") {
        const { layers } = candidate.server;
        const [firstBoundary, endBoundary] = surviving.length === 0
            ? [candidate.firstBoundary, candidate.endBoundary]
            : [context.boundaries.indexOf(layers.first), context.boundaries.indexOf(layers.last + 1)];
        options.push(
            new StageOption(context, candidate, load, firstBoundary, endBoundary, hasCachedPrefix, undefined, 0),
        );
    }
    for (const stage of surviving) {
        const reusable = findReusableCache(context, candidate, stage);
        if (reusable !== undefined) {
            const { layers, cache, importMilliseconds } = reusable;
            const firstBoundary = context.boundaries.indexOf(layers.first);
            const endBoundary = context.boundaries.indexOf(layers.last + 1);
            options.push(
                new StageOption(context, candidate, load, firstBoundary, endBoundary, true, cache, importMilliseconds),
            );
        }
    }
}

/** KV cache of a surviving stage that the candidate can use: kept in place, or imported from the stage's server. */
function findReusableCache(
    context: SearchContext,
    candidate: Candidate,
    stage: SurvivingStage,
): ReusableCache | undefined {
    const { server } = candidate;
    const layers = {
        first: Math.max(stage.layers.first, server.layers.first),
        last: Math.min(stage.layers.last, server.layers.last),
    };
    if (layerCount(layers) <= 0) {
        return undefined;
    }
    const { attemptId } = stage;
    if (stage.backendServer === server.id) {
        return stage.usable ? { layers, cache: { kind: "kept", attemptId }, importMilliseconds: 0 } : undefined;
    }
    const source = context.index.findRecord(stage.backendServer);
    if (source === undefined || source.isUnreachable(monotonicNow())) {
        return undefined;
    }
    const { model, promptTokens, generatedTokens } = context.request;
    const bytes = (promptTokens + generatedTokens) * layerCount(layers) * model.cacheBytesPerTokenLayer;
    const link = context.index.graph.topology.link(source.description, server.location);
    const importMilliseconds = link.latencyMilliseconds + transferMilliseconds(link, bytes);
    return { layers, cache: { kind: "imported", attemptId, address: source.description.address }, importMilliseconds };
}
