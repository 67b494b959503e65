/** The options of a search: each usable server as it is, and with KV cache that spares it the prefix. */
import { monotonicNow } from "../../common/clock.js";
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { CacheSource } from "../../domain/pipeline-plan.js";
import { transferMilliseconds } from "../../domain/topology.js";
import type { Candidate, CandidateIndex } from "./candidate-index.js";
import { minimumStepTokens } from "./constants.js";
import { Phase, type SearchOption } from "./layered-search.js";
import type { LoadEstimate } from "./load-estimate.js";
import type { PipelineRequest, SurvivingStage } from "./types.js";

/** What one search assumes of the request. */
export interface SearchTerms {
    readonly request: PipelineRequest;
    readonly index: CandidateIndex;
    readonly boundaries: readonly number[];
    /** Tokens that a stage without the prefix computes before the first new token. */
    readonly wholeTokens: number;
    /** Tokens that a stage with the prefix computes. */
    readonly cachedTokens: number;
}

/** How a server would come by the prefix. */
interface CacheVariant {
    readonly layers: LayerRange;
    readonly cache: CacheSource | undefined;
    readonly importMilliseconds: number;
}

/** A search option, with what a stage made from it needs. */
export class StageOption implements SearchOption {
    readonly location: number;
    readonly entryCost: number;
    readonly cachedLayerCost: number | undefined;
    readonly wholeLayerCost: number;
    private readonly firstTokens: number;
    private readonly tokens: number;
    /** What the work of others adds to each token of this request. */
    private readonly backlogTokenMilliseconds: number;

    constructor(
        terms: SearchTerms,
        readonly candidate: Candidate,
        private readonly load: LoadEstimate,
        readonly firstBoundary: number,
        readonly endBoundary: number,
        hasPrefix: boolean,
        readonly cache: CacheSource | undefined,
        private readonly importMilliseconds: number,
    ) {
        const { expectedTokens } = terms.request;
        const laterCost = expectedTokens * this.layerTokenMilliseconds;
        this.firstTokens = terms.wholeTokens;
        this.tokens = terms.wholeTokens + expectedTokens;
        this.backlogTokenMilliseconds = backlogTokenMilliseconds(candidate, load, this.tokens);
        this.location = candidate.location;
        this.entryCost = this.entryFirstMilliseconds + expectedTokens * this.entryTokenMilliseconds;
        this.wholeLayerCost = this.layerFirstMilliseconds(terms, Phase.whole) + laterCost;
        this.cachedLayerCost = hasPrefix ? this.layerFirstMilliseconds(terms, Phase.cached) + laterCost : undefined;
    }

    /** Milliseconds before the first token that do not depend on this stage's layers. */
    get entryFirstMilliseconds(): number {
        return this.importMilliseconds + this.firstTokens * this.backlogTokenMilliseconds;
    }

    /** Milliseconds that other work here adds to each later token. */
    get entryTokenMilliseconds(): number {
        return this.backlogTokenMilliseconds;
    }

    /**
     * Milliseconds after which the first token would come at the latest if all work here ran before it, for callers that
     * tell a slow stage from a failed one.
     */
    get latestFirstMilliseconds(): number {
        const { pendingTokens, stepMilliseconds } = this.load;
        const { server } = this.candidate;
        const queue = pendingTokens * layerCount(server.layers) * 1000 / server.layerTokensPerSecond;
        return this.importMilliseconds + queue + stepMilliseconds;
    }

    /** Milliseconds that other work here may add to one later token, which waits for a whole step. */
    get latestTokenMilliseconds(): number {
        return Math.max(this.backlogTokenMilliseconds, this.load.stepMilliseconds);
    }

    /** Milliseconds of the whole request that are spent on the work of others. */
    get waitingMilliseconds(): number {
        return this.tokens * this.backlogTokenMilliseconds;
    }

    /** Milliseconds that one layer adds to each later token. */
    get layerTokenMilliseconds(): number {
        return minimumStepTokens * 1000 / this.candidate.server.layerTokensPerSecond;
    }

    /** Milliseconds that one layer adds to the first token. */
    layerFirstMilliseconds(terms: SearchTerms, phase: Phase): number {
        const tokens = phase === Phase.whole ? terms.wholeTokens : terms.cachedTokens;
        return Math.max(minimumStepTokens, tokens) * 1000 / this.candidate.server.layerTokensPerSecond;
    }
}

/**
 * Engines batch continuously, so attempts share the server: until this request is done, each other attempt gets at
 * most as many tokens as this one, and no more than it still needs.
 */
function backlogTokenMilliseconds({ server }: Candidate, load: LoadEstimate, tokens: number): number {
    const sharedTokens = Math.min(load.pendingTokens, load.attempts * tokens);
    return sharedTokens * layerCount(server.layers) * 1000 / server.layerTokensPerSecond / Math.max(1, tokens);
}

/** Adds the options of one server. */
export function addStageOptions(
    options: StageOption[],
    terms: SearchTerms,
    candidate: Candidate,
    load: LoadEstimate,
    believedPrefix: boolean,
): void {
    const { survivingStages: surviving } = terms.request;
    if (candidate.server.role !== "decode") {
        const { layers } = candidate.server;
        const [first, end] = surviving.length === 0
            ? [candidate.firstBoundary, candidate.endBoundary]
            : [terms.boundaries.indexOf(layers.first), terms.boundaries.indexOf(layers.last + 1)];
        options.push(new StageOption(terms, candidate, load, first, end, believedPrefix, undefined, 0));
    }
    for (const stage of surviving) {
        const variant = cacheVariant(terms, candidate, stage);
        if (variant !== undefined) {
            const { layers, cache, importMilliseconds } = variant;
            const first = terms.boundaries.indexOf(layers.first);
            const end = terms.boundaries.indexOf(layers.last + 1);
            options.push(new StageOption(terms, candidate, load, first, end, true, cache, importMilliseconds));
        }
    }
}

/** KV cache that an earlier attempt left, kept by its own server or moved to another. */
function cacheVariant(terms: SearchTerms, candidate: Candidate, stage: SurvivingStage): CacheVariant | undefined {
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
    const source = terms.index.find(stage.backendServer);
    if (source === undefined || source.isUnreachable(monotonicNow())) {
        return undefined;
    }
    const { model, promptTokens, generatedTokens } = terms.request;
    const bytes = (promptTokens + generatedTokens) * layerCount(layers) * model.cacheBytesPerTokenLayer;
    const link = terms.index.graph.topology.link(source.description, server.location);
    const importMilliseconds = link.latencyMilliseconds + transferMilliseconds(link, bytes);
    return { layers, cache: { kind: "imported", attemptId, address: source.description.address }, importMilliseconds };
}
