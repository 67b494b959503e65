/**
 * One answer from its first attempt to its end: passes checked tokens on, watches for stalls and the deadline, and
 * after a failure resumes at the next position with a new plan that keeps what survived.
 */
import { randomUUID } from "node:crypto";
import { delay, monotonicNow } from "../../common/clock.js";
import type { Emitter } from "../../common/streams.js";
import type { AttemptRequest, EndFrame, TokenFrame } from "../../domain/engine-protocol.js";
import { estimatePromptTokens, prefixBlockHashes } from "../../domain/prefix-blocks.js";
import {
    AnswerFailedError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    NoPipelineError,
    Outcome,
} from "../../errors/index.js";
import type { StageProgress } from "../../process/outlier-ejection/stage-progress.js";
import type { PipelineChoice } from "../pipeline-choice/types.js";
import { backoffMilliseconds } from "../retry/backoff.js";
import type { AnswerLengths } from "./answer-lengths.js";
import type { AttemptFailure } from "./attempt-failure.js";
import { type AttemptListener, AttemptRun } from "./attempt-run.js";
import {
    budgetEmptyBackoffRetry,
    freeFruitlessAttempts,
    maximumAttempts,
    maximumFruitlessAttempts,
    minimumTokenStallMilliseconds,
} from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";
import { type AnswerDependencies, RecoveryStrategy } from "./dependencies.js";
import { FaultAttribution } from "./fault-attribution.js";
import { FrameChecker } from "./frame-checker.js";
import { RecoveryState } from "./recovery-state.js";
import { isQueueing, stallDue } from "./stall.js";
import type { AnswerEvent, AnswerRequest } from "./types.js";

export class AnswerRun implements AttemptListener {
    private readonly generated: string[] = [];
    private readonly recovery = new RecoveryState();
    private readonly attribution: FaultAttribution;
    private readonly cancelled = new AbortController();
    private readonly prefixBlocks: readonly string[];
    private readonly promptTokens: number;
    private current: CurrentAttempt | undefined;
    private watchdog: ReturnType<typeof setTimeout> | undefined;
    private attempts = 0;
    private fruitlessAttempts = 0;
    private mayHaveRun = false;
    private paused = false;
    /** Whether the present attempt has sent no token yet. */
    private awaitsFirstToken = true;
    private tokenAt = 0;
    private finished = false;
    /** When the last attempt failed, until the caller's next token. */
    private failedAt: number | undefined;

    constructor(
        private readonly request: AnswerRequest,
        private readonly dependencies: AnswerDependencies,
        private readonly progress: StageProgress,
        private readonly lengths: AnswerLengths,
        private readonly emitter: Emitter<AnswerEvent>,
    ) {
        this.attribution = new FaultAttribution(this.recovery, dependencies);
        this.prefixBlocks = prefixBlockHashes(request.model.name, request.messages);
        this.promptTokens = estimatePromptTokens(request.messages);
    }

    start(): void {
        this.dependencies.retryBudgets.forRoute(this.request.route.name, this.request.route.retryShare)
            .recordFirstAttempt();
        this.startAttempt();
    }

    pause(): void {
        this.paused = true;
        this.current?.run.pause();
    }

    resume(): void {
        this.paused = false;
        this.current?.run.resume();
    }

    /** Cancels all work. The observer hears nothing more. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        const attempt = this.current;
        this.finish();
        attempt?.run.cancel();
    }

    token(frame: TokenFrame): void {
        this.recordProgress();
        if (this.awaitsFirstToken) {
            this.awaitsFirstToken = false;
            this.dependencies.capacity?.recordFirstToken(monotonicNow() - (this.current?.dispatchedAt ?? 0));
            this.watch();
        }
        if (frame.position < this.generated.length) {
            // A whole restart repeats what the caller already has.
            return;
        }
        this.generated.push(frame.text);
        this.fruitlessAttempts = 0;
        if (this.failedAt !== undefined) {
            this.dependencies.metrics.timing("pomelostall.answer.recovery", monotonicNow() - this.failedAt);
            this.failedAt = undefined;
        }
        this.emitter.next({ type: "token", position: frame.position, text: frame.text });
    }

    end(frame: EndFrame): void {
        this.reportSuccess();
        this.lengths.record(this.request.route.name, frame.count);
        this.finish();
        this.emitter.next({
            type: "end",
            finishReason: frame.finishReason,
            promptTokens: frame.promptTokens,
            completionTokens: frame.count,
        });
        this.emitter.complete();
    }

    failed(failure: AttemptFailure): void {
        const attempt = this.current;
        if (this.finished || attempt === undefined) {
            return;
        }
        this.current = undefined;
        attempt.endCount();
        this.failedAt ??= monotonicNow();
        this.mayHaveRun ||= failure.mayHaveRun;
        this.dependencies.metrics.increment("pomelostall.answer.attempt_failed", 1, { reason: failure.reason });
        this.fruitlessAttempts++;
        void this.recover(attempt, failure);
    }

    /** Notes that every stage works, and how long the caller waited for this token. */
    private recordProgress(): void {
        const attempt = this.current;
        if (attempt === undefined) {
            return;
        }
        const now = monotonicNow();
        if (!this.awaitsFirstToken && !this.paused) {
            attempt.servers[0]!.recordGap(now - this.tokenAt);
            this.dependencies.capacity?.recordTokenGap(now - this.tokenAt);
        }
        this.tokenAt = now;
        for (const server of attempt.servers) {
            server.lastTokenAt = now;
        }
    }

    private async recover(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        if (failure.mayHaveRun) {
            this.recovery.keepCache(attempt.choice.plan, attempt.id, attempt.run.madeProgress);
        }
        await this.attribution.attribute(attempt, failure);
        if (this.finished) {
            return;
        }
        if (this.attempts >= maximumAttempts || this.fruitlessAttempts >= maximumFruitlessAttempts) {
            this.fail(
                new AnswerFailedError(`The last attempt failed: ${failure.reason}.`, this.outcome, failure.cause),
            );
            return;
        }
        if (await this.waitForRetry(attempt, failure)) {
            this.startAttempt();
        }
    }

    /**
     * Waits until another attempt may start. An answer that the caller already reads is resumed: its admitted work is
     * merely moved. One without a token is a retry, taken from the route's budget. Both back off where a backend server
     * was overloaded or attempts keep failing.
     */
    private async waitForRetry(attempt: CurrentAttempt, failure: AttemptFailure): Promise<boolean> {
        if (attempt.run.madeProgress) {
            return true;
        }
        const { random, retryBudgets } = this.dependencies;
        const { name, retryShare } = this.request.route;
        let wait = failure.reason === "overloaded" || this.fruitlessAttempts > freeFruitlessAttempts
            ? backoffMilliseconds(this.fruitlessAttempts, random)
            : 0;
        if (this.generated.length > 0) {
            await delay(wait, this.cancelled.signal);
            return !this.finished;
        }
        while (!this.finished) {
            if (wait > 0) {
                await delay(wait, this.cancelled.signal);
            }
            if (this.finished || retryBudgets.forRoute(name, retryShare).tryTake()) {
                break;
            }
            this.dependencies.metrics.increment("pomelostall.retry.budget_empty");
            wait = backoffMilliseconds(budgetEmptyBackoffRetry, random);
        }
        return !this.finished;
    }

    private startAttempt(): void {
        const remaining = this.request.deadline - monotonicNow();
        if (remaining <= 0) {
            this.fail(new DeadlineExceededError(this.outcome));
            return;
        }
        const choice = this.choose();
        if (choice === undefined) {
            return;
        }
        if (choice.expectedFirstTokenMilliseconds > remaining) {
            this.refuse(choice);
            return;
        }
        this.dispatch(choice, remaining);
    }

    private choose(): PipelineChoice | undefined {
        const { chooser, health } = this.dependencies;
        const ejected = health.ejected();
        try {
            return chooser.choose({
                requestId: this.request.requestId,
                model: this.request.model,
                adapter: this.request.route.adapter,
                promptTokens: this.promptTokens,
                expectedTokens: this.expectedTokens,
                generatedTokens: this.generated.length,
                prefixBlocks: this.prefixBlocks,
                excluded: this.recovery.excluded(ejected),
                survivingStages: this.dependencies.recovery === RecoveryStrategy.restart
                    ? []
                    : this.recovery.surviving(ejected),
            });
        }
        catch (error) {
            if (error instanceof NoPipelineError && this.recovery.forgetSuspicions()) {
                return this.choose();
            }
            this.fail(
                error instanceof NoPipelineError ? new NoPipelineError(this.request.model.name, this.outcome) : error,
            );
            return undefined;
        }
    }

    private refuse(choice: PipelineChoice): void {
        const error = this.mayHaveRun
            ? new DeadlineExceededError(this.outcome)
            : new DeadlineUnreachableError(Math.ceil(choice.expectedFirstTokenMilliseconds / 1000));
        this.fail(error);
    }

    private dispatch(choice: PipelineChoice, remaining: number): void {
        const { connections, ledger, logger } = this.dependencies;
        const { plan } = choice;
        const first = plan.stages[0]!;
        const id = randomUUID();
        this.attempts++;
        this.awaitsFirstToken = true;
        // The chooser has written the decision's line; this one ties the plan to its attempt.
        logger.debug("attempt started", {
            requestId: this.request.requestId,
            attemptId: id,
            planId: plan.id,
            attempt: this.attempts,
            position: this.generated.length,
        });
        const connection = connections.get(first.backendServer, first.address);
        const position = this.dependencies.recovery === RecoveryStrategy.restart ? 0 : this.generated.length;
        const attempt = connection.startAttempt(
            this.attemptRequest(id, choice, position, remaining),
            { freshConnection: this.attribution.wasReopened(first.backendServer) },
        );
        const checker = new FrameChecker(id, plan, position, this.request.maximumTokens);
        const run = new AttemptRun(attempt, checker, first.backendServer, this);
        const expected = this.expectedTokens + choice.recomputedTokens;
        const servers = plan.stages.map(stage => this.progress.of(stage.backendServer));
        this.current = {
            id,
            choice,
            run,
            servers,
            dispatchedAt: monotonicNow(),
            endCount: ledger.begin(plan, expected),
        };
        if (this.paused) {
            run.pause();
        }
        run.start();
        this.watch();
    }

    private attemptRequest(
        id: string,
        choice: PipelineChoice,
        position: number,
        remaining: number,
    ): AttemptRequest {
        const { model, route, messages, maximumTokens, requestId } = this.request;
        return {
            attemptId: id,
            planId: choice.plan.id,
            requestId,
            model: model.name,
            modelVersion: model.version,
            adapter: route.adapter,
            stages: choice.plan.stages,
            messages,
            generated: this.generated.slice(0, position),
            maximumTokens,
            // An answer that a caller already reads goes before new ones of its route, never before another route's.
            priority: route.priority * 2 + (position > 0 ? 0 : 1),
            timeoutMilliseconds: remaining,
        };
    }

    /** Arms one timer for the next time at which a stall or the deadline could be due. */
    private watch(): void {
        clearTimeout(this.watchdog);
        if (this.finished) {
            return;
        }
        const now = monotonicNow();
        if (now >= this.request.deadline) {
            const attempt = this.current;
            this.mayHaveRun ||= attempt !== undefined;
            this.fail(new DeadlineExceededError(this.outcome));
            attempt?.run.cancel();
            return;
        }
        const attempt = this.current;
        if (
            attempt !== undefined && !this.paused && now >= stallDue(attempt, this.attempts === 1)
            && !isQueueing(attempt, now)
        ) {
            attempt.run.stall();
        }
        const stallAt = this.current === undefined || this.paused
            ? Infinity
            : stallDue(this.current, this.attempts === 1);
        const due = Math.min(this.request.deadline, Math.max(stallAt, now + minimumTokenStallMilliseconds / 4));
        this.watchdog = setTimeout(() => this.watch(), Math.max(1, due - now));
    }

    private get expectedTokens(): number {
        const { route, maximumTokens } = this.request;
        return this.lengths.remaining(route.name, this.generated.length, maximumTokens);
    }

    private get outcome(): Outcome {
        return this.mayHaveRun ? Outcome.failed : Outcome.notRun;
    }

    private reportSuccess(): void {
        for (const stage of this.current?.choice.plan.stages ?? []) {
            this.dependencies.health.succeeded(stage.backendServer);
        }
    }

    private fail(error: unknown): void {
        if (this.finished) {
            return;
        }
        this.finish();
        this.emitter.fail(error as Error);
    }

    private finish(): void {
        this.finished = true;
        clearTimeout(this.watchdog);
        this.cancelled.abort();
        this.current?.endCount();
        this.current = undefined;
    }
}
