/** Runs the engine's stages of attempts, whether the attempt started at this engine or at another. */
import type { AttemptRequest } from "../../domain/engine-protocol.js";
import { layerRangesEqual } from "../../domain/layers.js";
import type { Stage } from "../../domain/pipeline-plan.js";
import { estimatePromptTokens, prefixBlockHashes } from "../../domain/prefix-blocks.js";
import type { AttemptCache } from "./attempt-cache.js";
import type { ContinuousBatcher } from "./continuous-batcher.js";
import type { PrefixCache } from "./prefix-cache.js";
import type { EngineRecord } from "./record.js";
import type { ActivationsMessage, PrepareRequest, StageEndpoint, StageNetwork, StageReply } from "./types.js";

/** State of an attempt at one stage. */
interface StageContext {
    readonly attempt: AttemptRequest;
    readonly stageIndex: number;
    readonly stage: Stage;
    /** Address of the head, the engine of the attempt's first stage. */
    readonly headAddress: string;
    /** Number of tokens in the complete answer. */
    readonly expectedTokens: number;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    position: number;
}

/** Functions and state of the engine that the runner uses. */
export interface StageRunnerDependencies {
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

    constructor(private readonly dependencies: StageRunnerDependencies) {}

    /** Number of attempts that have a stage at this engine. */
    get attemptCount(): number {
        return this.contexts.size;
    }

    /** Number of answer tokens still to be generated; counts each attempt once. */
    get remainingTokens(): number {
        let total = 0;
        for (const [context] of this.contexts.values()) {
            total += context === undefined ? 0 : Math.max(0, context.expectedTokens - context.position);
        }
        return total;
    }

    usesLayers(model: string, modelVersion: string, matches: (stage: Stage) => boolean): boolean {
        return [...this.contexts.values()].flat().some(context =>
            context.attempt.model === model && context.attempt.modelVersion === modelVersion
            && matches(context.stage)
        );
    }

    /** Sets up a stage of an attempt; replies with the number of prefix tokens whose KV cache is held or importable. */
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
            this.dependencies.prefixCache.cachedTokens(context.prefixHashes),
            await this.reusableCacheTokens(stage),
        );
        return { cachedTokens: Math.min(cachedTokens, promptTokens + attempt.generated.length), bytes: 0 };
    }

    /**
     * Computes the stage's layers and sends the activations to the next stage. The last stage reports the computed
     * position to the head. Ignores attempts that are not prepared here.
     */
    run(message: ActivationsMessage): void {
        const context = this.contexts.get(message.attemptId)?.find(candidate =>
            candidate.stageIndex === message.stageIndex
        );
        if (context === undefined) {
            return;
        }
        const tokens = message.tokens?.[message.stageIndex] ?? 1;
        this.dependencies.batcher.submit({
            attemptId: message.attemptId,
            priority: context.attempt.priority,
            layers: context.stage.layers,
            tokens,
            onDone: () => this.finish(context, message, tokens),
        });
    }

    release(attemptId: string): void {
        this.contexts.delete(attemptId);
        this.dependencies.batcher.remove(attemptId);
        this.dependencies.attemptCache.release(attemptId);
    }

    clear(): void {
        this.contexts.clear();
    }

    private finish(context: StageContext, message: ActivationsMessage, tokens: number): void {
        const { attempt, stage, stageIndex } = context;
        this.dependencies.record.addRun({
            attemptId: attempt.attemptId,
            planId: attempt.planId,
            requestId: attempt.requestId,
            position: message.position,
            layers: stage.layers,
            tokens,
        });
        if (message.tokens !== undefined) {
            this.dependencies.prefixCache.add(context.prefixHashes);
        }
        context.position = message.position + 1;
        this.dependencies.attemptCache.store(attempt.attemptId, stage.layers, context.promptTokens + message.position);
        const ran = [...message.ran, stage.layers];
        if (stageIndex === attempt.stages.length - 1) {
            const sampledMessage = {
                kind: "sampled",
                attemptId: attempt.attemptId,
                position: message.position,
                ran,
            } as const;
            this.dependencies.network.send(
                this.dependencies.endpoint,
                context.headAddress,
                sampledMessage,
                () => undefined,
            );
            return;
        }
        this.forward(context, {
            ...message,
            stageIndex: stageIndex + 1,
            ran,
            bytes: tokens * this.dependencies.activationBytes,
        });
    }

    private forward(context: StageContext, message: ActivationsMessage): void {
        const { endpoint, network } = this.dependencies;
        const next = context.attempt.stages[message.stageIndex]!;
        network.send(endpoint, next.address, message, () => {
            const failedMessage = {
                kind: "stage-failed",
                attemptId: message.attemptId,
                backendServer: next.backendServer,
            } as const;
            network.send(endpoint, context.headAddress, failedMessage, () => undefined);
        });
    }

    private async reusableCacheTokens(stage: Stage): Promise<number> {
        const { cache, layers } = stage;
        if (cache === undefined) {
            return 0;
        }
        if (cache.kind === "kept") {
            return this.dependencies.attemptCache.cachedTokens(cache.attemptId, layers);
        }
        try {
            const reply = await this.dependencies.network.request(this.dependencies.endpoint, cache.address, {
                kind: "export-cache",
                attemptId: cache.attemptId,
                layers,
            });
            return reply.cachedTokens;
        }
        catch {
            // The exporting engine is unreachable, so the prefix is recomputed.
            return 0;
        }
    }
}

/** Whether a stage uses any of a holding's layers. */
export function stageOverlaps(stage: Stage, layers: Stage["layers"]): boolean {
    return layerRangesEqual(stage.layers, layers)
        || (stage.layers.first <= layers.last && layers.first <= stage.layers.last);
}
