/** An attempt at its head, the engine of its first stage, which runs each token in turn through all stages. */
import { monotonicNow } from "../../common/clock.js";
import type { AttemptRequest, FailureFrame } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import { estimatePromptTokens } from "../../domain/prefix-blocks.js";
import { expectedTokenCount, finishReason, hashMessages, tokenOfHash } from "./tokens.js";
import type { ActivationsMessage, EngineAttempt, FrameSink, StageEndpoint, StageNetwork, StageReply } from "./types.js";

/** Functions and state of the engine that an attempt uses. */
export interface HeadAttemptDependencies {
    readonly endpoint: StageEndpoint;
    readonly network: StageNetwork;
    /** Computes the engine's own stage. */
    readonly runFirstStage: (message: ActivationsMessage) => void;
    readonly prepareFirstStage: (request: AttemptRequest, expectedTokens: number) => Promise<StageReply>;
    /** Called when the attempt ends, whether it completed, failed or was cancelled. */
    readonly onEnded: (attempt: HeadAttempt) => void;
    readonly stageTimeoutMilliseconds: number;
}

export class HeadAttempt implements EngineAttempt {
    /** Number of tokens in the complete answer. */
    private readonly count: number;
    private readonly messagesHash: number;
    private readonly promptTokens: number;
    private readonly startedAt = monotonicNow();
    /** Position of the next token, which is also the number of tokens generated so far. */
    private position: number;
    /** Whether any layer may have run. */
    private started = false;
    private ended = false;
    private paused = false;
    /** Whether the next token waits to be computed until the reader resumes. */
    private positionDeferred = false;
    private tokenAwaitedSince: number | undefined;
    private pingingStages = false;
    private lastFrameAt = monotonicNow();

    constructor(
        readonly request: AttemptRequest,
        private readonly sink: FrameSink,
        private readonly dependencies: HeadAttemptDependencies,
    ) {
        this.count = expectedTokenCount(request.messages, request.maximumTokens);
        this.messagesHash = hashMessages(request.messages);
        this.promptTokens = estimatePromptTokens(request.messages);
        this.position = request.generated.length;
    }

    /** Prepares every stage, then computes the first position and the prefix tokens that are not cached. */
    async start(): Promise<void> {
        const { request } = this;
        this.sink.write({ type: "accepted", attemptId: request.attemptId, planId: request.planId });
        if (this.position >= this.count) {
            this.finish();
            return;
        }
        const replies = await Promise.all(request.stages.map((_stage, index) => this.prepareStage(index)));
        if (this.ended) {
            return;
        }
        const refusedIndex = replies.findIndex(reply => typeof reply === "string" || reply.refusal !== undefined);
        if (refusedIndex !== -1) {
            const reply = replies[refusedIndex]!;
            const reason = typeof reply === "string" ? reply : reply.refusal!;
            this.fail(reason, request.stages[refusedIndex]!.backendServer);
            return;
        }
        this.computePosition(prefixTokensByStage(
            (replies as readonly StageReply[]).map(reply => reply.cachedTokens),
            this.promptTokens + this.position,
        ));
    }

    /** Handles the last stage's report that it has computed a position; ignores duplicates and late reports. */
    handleSampled(position: number, ran: readonly LayerRange[]): void {
        if (this.ended || position !== this.position) {
            return;
        }
        this.tokenAwaitedSince = undefined;
        this.lastFrameAt = monotonicNow();
        this.sink.write({
            type: "token",
            attemptId: this.request.attemptId,
            planId: this.request.planId,
            position,
            text: tokenOfHash(this.messagesHash, position),
            layers: ran,
        });
        this.position++;
        if (this.position >= this.count) {
            this.finish();
        }
        else if (this.paused) {
            this.positionDeferred = true;
        }
        else {
            this.computePosition();
        }
    }

    handleStageFailed(backendServer: string): void {
        this.fail("stage-unreachable", backendServer);
    }

    fail(reason: FailureFrame["reason"], backendServer?: string): void {
        if (this.ended) {
            return;
        }
        const { attemptId, planId } = this.request;
        this.sink.write({ type: "failure", attemptId, planId, reason, started: this.started, backendServer });
        this.end();
    }

    cancel(): void {
        this.fail("cancelled");
    }

    pause(): void {
        this.paused = true;
    }

    resume(): void {
        this.paused = false;
        if (this.positionDeferred) {
            this.positionDeferred = false;
            this.computePosition();
        }
    }

    /** Breaks the connection without a closing frame, as when the engine crashes. */
    breakConnection(): void {
        this.ended = true;
        this.sink.fail();
    }

    /** Fails the attempt at its timeout, sends due heartbeats, and looks for a failed stage if a token is late. */
    checkTimers(now: number, heartbeatMilliseconds: number): void {
        if (now - this.startedAt > this.request.timeoutMilliseconds) {
            this.fail("timeout");
            return;
        }
        if (now - this.lastFrameAt >= heartbeatMilliseconds) {
            this.lastFrameAt = now;
            this.sink.write({ type: "heartbeat", attemptId: this.request.attemptId });
        }
        const tokenLate = this.tokenAwaitedSince !== undefined
            && now - this.tokenAwaitedSince > this.dependencies.stageTimeoutMilliseconds;
        if (tokenLate && !this.pingingStages) {
            void this.findFailedStage();
        }
    }

    private async prepareStage(index: number): Promise<StageReply | "stage-unreachable"> {
        const { endpoint, network } = this.dependencies;
        const stage = this.request.stages[index]!;
        try {
            return index === 0
                ? await this.dependencies.prepareFirstStage(this.request, this.count)
                : await network.request(endpoint, stage.address, {
                    kind: "prepare",
                    attempt: this.request,
                    stageIndex: index,
                    headAddress: endpoint.address,
                    expectedTokens: this.count,
                });
        }
        catch {
            return "stage-unreachable";
        }
    }

    private computePosition(tokens?: readonly number[]): void {
        this.started = true;
        this.tokenAwaitedSince = monotonicNow();
        this.dependencies.runFirstStage({
            kind: "activations",
            attemptId: this.request.attemptId,
            stageIndex: 0,
            position: this.position,
            tokens,
            ran: [],
            bytes: 0,
        });
    }

    /** Pings the other stages in order and fails the attempt at the first unreachable one; slow ones are tolerated. */
    private async findFailedStage(): Promise<void> {
        this.pingingStages = true;
        for (const stage of this.request.stages.slice(1)) {
            try {
                await this.dependencies.network.request(this.dependencies.endpoint, stage.address, { kind: "ping" });
            }
            catch {
                this.fail("stage-unreachable", stage.backendServer);
                return;
            }
        }
        this.pingingStages = false;
        this.tokenAwaitedSince = this.tokenAwaitedSince === undefined ? undefined : monotonicNow();
    }

    private finish(): void {
        const { attemptId, planId, messages, maximumTokens } = this.request;
        this.sink.write({
            type: "end",
            attemptId,
            planId,
            count: this.position,
            finishReason: finishReason(messages, maximumTokens),
            promptTokens: this.promptTokens,
        });
        this.end();
    }

    private end(): void {
        this.ended = true;
        this.sink.end();
        this.dependencies.onEnded(this);
    }
}

/**
 * Number of tokens that each stage must compute for the first position. A stage forwards only activations that it
 * computes, so it also computes the tokens that any later stage has not cached. The newest token is always computed.
 */
export function prefixTokensByStage(cachedTokens: readonly number[], prefixTokens: number): number[] {
    const tokens: number[] = [];
    let availableTokens = Number.POSITIVE_INFINITY;
    for (const stageCachedTokens of [...cachedTokens].reverse()) {
        availableTokens = Math.min(availableTokens, stageCachedTokens);
        tokens.unshift(Math.max(1, prefixTokens - availableTokens));
    }
    return tokens;
}
