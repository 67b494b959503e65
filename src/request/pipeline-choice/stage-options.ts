/** The options of a search: each usable server as it is, and with KV cache that spares it the prefix. */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import type { CacheSource } from "../../domain/pipeline-plan.js";
import { transferMilliseconds } from "../../domain/topology.js";
import type { Candidate, CandidateIndex } from "./candidate-index.js";
import { minimumStepTokens } from "./constants.js";
import type { SearchOption } from "./layered-search.js";
import type { LoadEstimate } from "./load-estimate.js";
import type { PipelineRequest, SurvivingStage } from "./types.js";

/** A search option, with what a stage made from it needs. */
export interface StageOption extends SearchOption {
    readonly candidate: Candidate;
    readonly cache: CacheSource | undefined;
    /** Milliseconds before the first token that do not depend on the layers. */
    readonly entryFirstMilliseconds: number;
    readonly entryTokenMilliseconds: number;
    readonly layerTokenMilliseconds: number;
    readonly wholeLayerFirstMilliseconds: number;
    readonly cachedLayerFirstMilliseconds: number;
}

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
    readonly hasPrefix: boolean;
}

/** Builds the options of one server. */
export function stageOptions(
    terms: SearchTerms,
    candidate: Candidate,
    load: LoadEstimate,
    believedPrefix: boolean,
): StageOption[] {
    const plain = { layers: candidate.server.layers, cache: undefined, importMilliseconds: 0 };
    const variants: CacheVariant[] = [{ ...plain, hasPrefix: believedPrefix }];
    for (const stage of terms.request.surviving) {
        const variant = cacheVariant(terms, candidate, stage);
        if (variant !== undefined) {
            variants.push(variant);
        }
    }
    const usable = candidate.server.role === "decode"
        ? variants.filter(variant => variant.cache !== undefined)
        : variants;
    return usable.flatMap(variant => buildOption(terms, candidate, load, variant) ?? []);
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
        return stage.usable
            ? { layers, cache: { kind: "kept", attemptId }, importMilliseconds: 0, hasPrefix: true }
            : undefined;
    }
    const source = terms.index.find(stage.backendServer);
    if (source === undefined) {
        return undefined;
    }
    const { model, promptTokens, generatedTokens } = terms.request;
    const bytes = (promptTokens + generatedTokens) * layerCount(layers) * model.cacheBytesPerTokenLayer;
    const link = terms.index.graph.topology.link(source.description, server.location);
    const importMilliseconds = link.latencyMilliseconds + transferMilliseconds(link, bytes);
    const { address } = source.description;
    return { layers, cache: { kind: "imported", attemptId, address }, importMilliseconds, hasPrefix: true };
}

function buildOption(
    terms: SearchTerms,
    candidate: Candidate,
    load: LoadEstimate,
    variant: CacheVariant,
): StageOption | undefined {
    const firstBoundary = terms.boundaries.indexOf(variant.layers.first);
    const endBoundary = terms.boundaries.indexOf(variant.layers.last + 1);
    if (firstBoundary < 0 || endBoundary <= firstBoundary) {
        return undefined;
    }
    const { expectedTokens } = terms.request;
    const tokenMilliseconds = 1000 / candidate.server.layerTokensPerSecond;
    const queueMilliseconds = load.queuedAttempts * load.stepMilliseconds / Math.max(1, load.attempts);
    const entryFirstMilliseconds = variant.importMilliseconds + queueMilliseconds + load.stepMilliseconds;
    const entryTokenMilliseconds = load.stepMilliseconds;
    const layerTokenMilliseconds = tokenMilliseconds * minimumStepTokens;
    const prefixMilliseconds = (tokens: number) => tokenMilliseconds * Math.max(minimumStepTokens, tokens);
    const wholeLayerFirstMilliseconds = prefixMilliseconds(terms.wholeTokens);
    const cachedLayerFirstMilliseconds = prefixMilliseconds(terms.cachedTokens);
    const laterCost = expectedTokens * layerTokenMilliseconds;
    return {
        candidate,
        cache: variant.cache,
        location: candidate.location,
        firstBoundary,
        endBoundary,
        entryFirstMilliseconds,
        entryTokenMilliseconds,
        layerTokenMilliseconds,
        wholeLayerFirstMilliseconds,
        cachedLayerFirstMilliseconds,
        entryCost: entryFirstMilliseconds + expectedTokens * entryTokenMilliseconds,
        cachedLayerCost: variant.hasPrefix ? cachedLayerFirstMilliseconds + laterCost : undefined,
        wholeLayerCost: wholeLayerFirstMilliseconds + laterCost,
    };
}
