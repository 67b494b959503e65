/** The part of an engine that runs its stages of attempts, its own and those that other engines lead. */
import type { AttemptRequest } from "../../domain/engine-protocol.js";
import { layerRangesEqual } from "../../domain/layers.js";
import type { Stage } from "../../domain/pipeline-plan.js";
import { estimatePromptTokens, prefixBlockHashes } from "../../domain/prefix-blocks.js";
import type { AttemptCache } from "./attempt-cache.js";
import type { ContinuousBatcher } from "./continuous-batcher.js";
import type { PrefixCache } from "./prefix-cache.js";
import type { EngineRecord } from "./record.js";
import type { ActivationsMessage, PrepareRequest, StageEndpoint, StageNetwork, StageReply } from "./types.js";

/** What a stage knows of an attempt. */
interface StageContext {
    readonly attempt: AttemptRequest;
    readonly stageIndex: number;
    readonly stage: Stage;
    readonly headAddress: string;
    readonly expectedTokens: number;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    position: number;
}

/** What the runner uses of its engine. */
export interface StageRunnerParts {
    readonly endpoint: StageEndpoint;
    readonly network: StageNetwork;
    readonly batcher: ContinuousBatcher;
    readonly prefixCache: PrefixCache;
    readonly attemptCache: AttemptCache;
    readonly record: EngineRecord;
    readonly activationBytes: number;
    readonly cacheBytesPerTokenLayer: number;
}

export class StageRunner {
    private readonly contexts = new Map<string, StageContext[]>();

    constructor(private readonly parts: StageRunnerParts) {}

    /** Attempts that have a stage here. */
    get attemptCount(): number {
        return this.contexts.size;
    }

    /** Tokens of answers that are still to come. */
    get remainingTokens(): number {
        let total = 0;
        for (const [context] of this.contexts.values()) {
            total += context === undefined ? 0 : Math.max(0, context.expectedTokens - context.position);
        }
        return total;
    }

    usesLayers(model: string, modelVersion: string, stageFits: (stage: Stage) => boolean): boolean {
        return [...this.contexts.values()].flat().some(context =>
            context.attempt.model === model && context.attempt.modelVersion === modelVersion
            && stageFits(context.stage)
        );
    }

    /** Takes part in an attempt; replies with the prefix tokens that need no computing here. */
    async prepare(request: PrepareRequest): Promise<StageReply> {
        const { attempt, stageIndex } = request;
        const stage = attempt.stages[stageIndex]!;
        const promptTokens = estimatePromptTokens(attempt.messages);
        const context: StageContext = {
            attempt,
            stageIndex,
            stage,
            headAddress: request.headAddress,
            expectedTokens: request.expectedTokens,
            promptTokens,
            prefixHashes: prefixBlockHashes(attempt.model, attempt.messages),
            position: attempt.generated.length,
        };
        const others = (this.contexts.get(attempt.attemptId) ?? []).filter(other => other.stageIndex !== stageIndex);
        this.contexts.set(attempt.attemptId, [...others, context]);
        const cachedTokens = Math.max(
            this.parts.prefixCache.cachedTokens(context.prefixHashes),
            await this.keptTokens(stage),
        );
        return { cachedTokens: Math.min(cachedTokens, promptTokens + attempt.generated.length), bytes: 0 };
    }

    /** Computes the activations through this stage's layers and passes them on. */
    run(message: ActivationsMessage): void {
        const context = this.contexts.get(message.attemptId)?.find(known => known.stageIndex === message.stageIndex);
        if (context === undefined) {
            return;
        }
        const tokens = message.tokens?.[message.stageIndex] ?? 1;
        this.parts.batcher.submit({
            attemptId: message.attemptId,
            priority: context.attempt.priority,
            layers: context.stage.layers,
            tokens,
            done: () => this.finish(context, message, tokens),
        });
    }

    release(attemptId: string): void {
        this.contexts.delete(attemptId);
        this.parts.batcher.remove(attemptId);
        this.parts.attemptCache.release(attemptId);
    }

    clear(): void {
        this.contexts.clear();
    }

    private finish(context: StageContext, message: ActivationsMessage, tokens: number): void {
        const { attempt, stage, stageIndex } = context;
        this.parts.record.addRun({
            attemptId: attempt.attemptId,
            planId: attempt.planId,
            requestId: attempt.requestId,
            position: message.position,
            layers: stage.layers,
            tokens,
        });
        if (message.tokens !== undefined) {
            this.parts.prefixCache.add(context.prefixHashes);
        }
        context.position = message.position + 1;
        this.parts.attemptCache.store(attempt.attemptId, stage.layers, context.promptTokens + message.position);
        const ran = [...message.ran, stage.layers];
        if (stageIndex === attempt.stages.length - 1) {
            const sampled = { kind: "sampled", attemptId: attempt.attemptId, position: message.position, ran } as const;
            this.parts.network.send(this.parts.endpoint, context.headAddress, sampled, () => undefined);
            return;
        }
        this.passOn(context, {
            ...message,
            stageIndex: stageIndex + 1,
            ran,
            bytes: tokens * this.parts.activationBytes,
        });
    }

    private passOn(context: StageContext, message: ActivationsMessage): void {
        const { endpoint, network } = this.parts;
        const next = context.attempt.stages[message.stageIndex]!;
        network.send(endpoint, next.address, message, () => {
            const failed = {
                kind: "stage-failed",
                attemptId: message.attemptId,
                backendServer: next.backendServer,
            } as const;
            network.send(endpoint, context.headAddress, failed, () => undefined);
        });
    }

    private async keptTokens(stage: Stage): Promise<number> {
        const { cache, layers } = stage;
        if (cache === undefined) {
            return 0;
        }
        if (cache.kind === "kept") {
            return this.parts.attemptCache.tokens(cache.attemptId, layers);
        }
        try {
            const reply = await this.parts.network.request(this.parts.endpoint, cache.address, {
                kind: "export-cache",
                attemptId: cache.attemptId,
                layers,
            });
            return reply.cachedTokens;
        }
        catch {
            // The other engine is gone, so the prefix is computed again.
            return 0;
        }
    }
}

/** Whether a stage runs within a holding's layers. */
export function stageUses(stage: Stage, layers: Stage["layers"]): boolean {
    return layerRangesEqual(stage.layers, layers)
        || (stage.layers.first <= layers.last && layers.first <= stage.layers.last);
}
