/** An attempt at the engine of its first stage: drives one token after the other through all stages. */
import { monotonicNow } from "../../common/clock.js";
import type { AttemptRequest, FailureFrame } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import { estimatePromptTokens } from "../../domain/prefix-blocks.js";
import { expectedTokenCount, finishReason, hashMessages, tokenOfHash } from "./tokens.js";
import type { ActivationsMessage, EngineAttempt, FrameSink, StageEndpoint, StageNetwork, StageReply } from "./types.js";

/** What an attempt uses of its engine. */
export interface HeadAttemptParts {
    readonly endpoint: StageEndpoint;
    readonly network: StageNetwork;
    /** Computes the engine's own stage. */
    readonly runFirstStage: (message: ActivationsMessage) => void;
    readonly prepareFirstStage: (request: AttemptRequest, expectedTokens: number) => Promise<StageReply>;
    /** The attempt has ended in any way. */
    readonly ended: (attempt: HeadAttempt) => void;
    readonly stageTimeoutMilliseconds: number;
}

export class HeadAttempt implements EngineAttempt {
    private readonly count: number;
    private readonly hash: number;
    private readonly promptTokens: number;
    private readonly startedAt = monotonicNow();
    private position: number;
    private started = false;
    private ended = false;
    private paused = false;
    /** The next token waits for the reader. */
    private held = false;
    private waitingSince: number | undefined;
    private asking = false;
    private lastFrameAt = monotonicNow();

    constructor(
        readonly request: AttemptRequest,
        private readonly sink: FrameSink,
        private readonly parts: HeadAttemptParts,
    ) {
        this.count = expectedTokenCount(request.messages, request.maximumTokens);
        this.hash = hashMessages(request.messages);
        this.promptTokens = estimatePromptTokens(request.messages);
        this.position = request.generated.length;
    }

    /** Prepares every stage and computes the prefix where it is missing. */
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
        const refused = replies.findIndex(reply => typeof reply === "string" || reply.refusal !== undefined);
        if (refused !== -1) {
            const reply = replies[refused]!;
            const reason = typeof reply === "string" ? reply : reply.refusal!;
            this.fail(reason, request.stages[refused]!.backendServer);
            return;
        }
        this.launch(prefixTokensByStage(
            (replies as readonly StageReply[]).map(reply => reply.cachedTokens),
            this.promptTokens + this.position,
        ));
    }

    /** The last stage has computed a position. */
    sampled(position: number, ran: readonly LayerRange[]): void {
        if (this.ended || position !== this.position) {
            return;
        }
        this.waitingSince = undefined;
        this.lastFrameAt = monotonicNow();
        this.sink.write({
            type: "token",
            attemptId: this.request.attemptId,
            planId: this.request.planId,
            position,
            text: tokenOfHash(this.hash, position),
            layers: ran,
        });
        this.position++;
        if (this.position >= this.count) {
            this.finish();
        }
        else if (this.paused) {
            this.held = true;
        }
        else {
            this.launch();
        }
    }

    stageFailed(backendServer: string): void {
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
        if (this.held) {
            this.held = false;
            this.launch();
        }
    }

    /** The engine died: nothing more is said. */
    abandon(): void {
        this.ended = true;
        this.sink.fail();
    }

    /** Sends a heartbeat when due, and gives up what is late. */
    check(now: number, heartbeatMilliseconds: number): void {
        if (now - this.startedAt > this.request.timeoutMilliseconds) {
            this.fail("timeout");
            return;
        }
        if (now - this.lastFrameAt >= heartbeatMilliseconds) {
            this.lastFrameAt = now;
            this.sink.write({ type: "heartbeat", attemptId: this.request.attemptId });
        }
        const waiting = this.waitingSince !== undefined
            && now - this.waitingSince > this.parts.stageTimeoutMilliseconds;
        if (waiting && !this.asking) {
            void this.findFailedStage();
        }
    }

    private async prepareStage(index: number): Promise<StageReply | "stage-unreachable"> {
        const { endpoint, network } = this.parts;
        const stage = this.request.stages[index]!;
        try {
            return index === 0
                ? await this.parts.prepareFirstStage(this.request, this.count)
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

    private launch(tokens?: readonly number[]): void {
        this.started = true;
        this.waitingSince = monotonicNow();
        this.parts.runFirstStage({
            kind: "activations",
            attemptId: this.request.attemptId,
            stageIndex: 0,
            position: this.position,
            tokens,
            ran: [],
            bytes: 0,
        });
    }

    /** Asks each stage in order whether it is there; a stage that only computes slowly is waited for. */
    private async findFailedStage(): Promise<void> {
        this.asking = true;
        for (const stage of this.request.stages.slice(1)) {
            try {
                await this.parts.network.request(this.parts.endpoint, stage.address, { kind: "ping" });
            }
            catch {
                this.fail("stage-unreachable", stage.backendServer);
                return;
            }
        }
        this.asking = false;
        this.waitingSince = this.waitingSince === undefined ? undefined : monotonicNow();
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
        this.parts.ended(this);
    }
}

/**
 * Tokens that each stage must compute for the first position. A stage passes on only what it computes, so it computes
 * whatever any later stage lacks; the newest token is always computed.
 */
export function prefixTokensByStage(cachedTokens: readonly number[], prefixTokens: number): number[] {
    const tokens: number[] = [];
    let cached = Number.POSITIVE_INFINITY;
    for (const own of [...cachedTokens].reverse()) {
        cached = Math.min(cached, own);
        tokens.unshift(Math.max(1, prefixTokens - cached));
    }
    return tokens;
}
