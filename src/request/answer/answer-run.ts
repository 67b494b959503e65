/**
 * Runs one answer: forwards validated tokens to the caller, enforces the deadline and the stall timeouts, and after a
 * failed attempt resumes at the next token position with a new pipeline plan that reuses the surviving KV cache.
 */
import { randomUUID } from "node:crypto";
import { delay, monotonicNow } from "../../common/clock.js";
import type { Emitter } from "../../common/streams.js";
import type { EndFrame, TokenFrame } from "../../domain/engine-protocol.js";
import { estimatePromptTokens, prefixBlockHashes } from "../../domain/prefix-blocks.js";
import {
    AnswerFailedError,
    CallerGoneError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    NoPipelineError,
    Outcome,
} from "../../errors/index.js";
import type { ServerProgressTracker } from "../../process/outlier-ejection/server-progress.js";
import type { PipelineChoice } from "../pipeline-choice/types.js";
import { backoffMilliseconds } from "../retry/backoff.js";
import type { AnswerLengths } from "./answer-lengths.js";
import type { AttemptFailure } from "./attempt-failure.js";
import { createAttemptRequest } from "./attempt-request.js";
import { type AttemptListener, AttemptRun } from "./attempt-run.js";
import {
    emptyBudgetBackoffExponent,
    failuresWithoutBackoff,
    maximumAttempts,
    maximumFailuresSinceToken,
    minimumTokenStallMilliseconds,
} from "./constants.js";
import type { CurrentAttempt } from "./current-attempt.js";
import { type AnswerDependencies, RecoveryStrategy } from "./dependencies.js";
import { FaultAttribution } from "./fault-attribution.js";
import { FrameChecker } from "./frame-checker.js";
import { RecoveryState } from "./recovery-state.js";
import { isQueueing, stallDeadline } from "./stall.js";
import type { AnswerEvent, AnswerRequest } from "./types.js";

export class AnswerRun implements AttemptListener {
    private readonly generated: string[] = [];
    private readonly recoveryState = new RecoveryState();
    private readonly attribution: FaultAttribution;
    /** Aborted when the answer finishes, to end a wait before a retry. */
    private readonly cancellation = new AbortController();
    private readonly prefixBlocks: readonly string[];
    private readonly promptTokens: number;
    private currentAttempt: CurrentAttempt | undefined;
    private watchdog: ReturnType<typeof setTimeout> | undefined;
    private attemptCount = 0;
    private failuresSinceToken = 0;
    /** Whether any layer may have run for any attempt of this answer. */
    private mayHaveRun = false;
    private paused = false;
    /** Whether the current attempt has not sent a token yet. */
    private awaitingFirstToken = true;
    private previousTokenAt = 0;
    private finished = false;
    /** Monotonic time of the first failure since the caller's last new token; undefined if there was none. */
    private firstFailureAt: number | undefined;

    constructor(
        private readonly request: AnswerRequest,
        private readonly dependencies: AnswerDependencies,
        private readonly progress: ServerProgressTracker,
        private readonly lengths: AnswerLengths,
        private readonly emitter: Emitter<AnswerEvent>,
    ) {
        this.attribution = new FaultAttribution(this.recoveryState, dependencies);
        this.prefixBlocks = prefixBlockHashes(request.model.name, request.messages);
        this.promptTokens = estimatePromptTokens(request.messages);
    }

    start(): void {
        const { callerGone, route } = this.request;
        if (callerGone.aborted) {
            this.abandon();
            return;
        }
        callerGone.addEventListener("abort", this.abandon);
        this.dependencies.retryBudgets.forRoute(route.name, route.retryShare).recordFirstAttempt();
        this.startAttempt();
    }

    pause(): void {
        this.paused = true;
        this.currentAttempt?.run.pause();
    }

    resume(): void {
        this.paused = false;
        this.currentAttempt?.run.resume();
    }

    /** Cancels all work without notifying the observer, which no longer observes. */
    cancel(): void {
        if (this.finished) {
            return;
        }
        const attempt = this.currentAttempt;
        this.finish();
        attempt?.run.cancel();
    }

    /** Cancels all work for a caller that has disconnected. The observer gets a CallerGoneError, so that it ends too. */
    private readonly abandon = (): void => {
        const attempt = this.currentAttempt;
        this.mayHaveRun ||= attempt !== undefined;
        this.fail(new CallerGoneError(this.outcome));
        attempt?.run.cancel();
    };

    onToken(frame: TokenFrame): void {
        this.recordProgress();
        if (this.awaitingFirstToken) {
            this.awaitingFirstToken = false;
            this.dependencies.capacity?.recordFirstToken(monotonicNow() - (this.currentAttempt?.dispatchedAt ?? 0));
            this.checkTimeouts();
        }
        if (frame.position < this.generated.length) {
            // With RecoveryStrategy.restart, the engine regenerates tokens that the caller already has.
            return;
        }
        this.generated.push(frame.text);
        this.failuresSinceToken = 0;
        if (this.firstFailureAt !== undefined) {
            this.dependencies.metrics.timing("pomelostall.answer.recovery", monotonicNow() - this.firstFailureAt);
            this.firstFailureAt = undefined;
        }
        this.emitter.next({ type: "token", position: frame.position, text: frame.text });
    }

    onEnd(frame: EndFrame): void {
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

    onFailure(failure: AttemptFailure): void {
        const attempt = this.currentAttempt;
        if (this.finished || attempt === undefined) {
            return;
        }
        this.currentAttempt = undefined;
        attempt.releaseInFlight();
        this.firstFailureAt ??= monotonicNow();
        this.mayHaveRun ||= failure.mayHaveRun;
        this.dependencies.metrics.increment("pomelostall.answer.attempt_failed", 1, { reason: failure.reason });
        this.failuresSinceToken++;
        void this.recover(attempt, failure);
    }

    /**
     * Records the time of this token for every backend server of the plan, and the gap since the attempt's previous token
     * for the first stage and for admission.
     */
    private recordProgress(): void {
        const attempt = this.currentAttempt;
        if (attempt === undefined) {
            return;
        }
        const now = monotonicNow();
        if (!this.awaitingFirstToken && !this.paused) {
            attempt.servers[0]!.recordGap(now - this.previousTokenAt);
            this.dependencies.capacity?.recordTokenGap(now - this.previousTokenAt);
        }
        this.previousTokenAt = now;
        for (const server of attempt.servers) {
            server.lastTokenAt = now;
        }
    }

    private async recover(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        if (failure.mayHaveRun) {
            this.recoveryState.recordSurvivingCache(attempt.choice.plan, attempt.id, attempt.run.hasToken);
        }
        await this.attribution.attribute(attempt, failure);
        if (this.finished) {
            return;
        }
        if (this.attemptCount >= maximumAttempts || this.failuresSinceToken >= maximumFailuresSinceToken) {
            this.fail(
                new AnswerFailedError(
                    `The limit of failed attempts was reached; reason of the last failure: ${failure.reason}.`,
                    this.outcome,
                    failure.cause,
                ),
            );
            return;
        }
        if (await this.waitForRetry(attempt, failure)) {
            this.startAttempt();
        }
    }

    /**
     * Waits until another attempt may start, and returns false if the answer finished meanwhile. After an attempt that
     * produced a token, the next attempt starts at once. Otherwise, an answer of which the caller already has tokens
     * resumes without using the retry budget, since it only moves work that was already admitted. An answer without
     * tokens takes a retry from the route's budget, and waits while that is empty. Both kinds of answer back off if a
     * backend server was overloaded or attempts keep failing.
     */
    private async waitForRetry(attempt: CurrentAttempt, failure: AttemptFailure): Promise<boolean> {
        if (attempt.run.hasToken) {
            return true;
        }
        const { random, retryBudgets } = this.dependencies;
        const { name, retryShare } = this.request.route;
        let wait = failure.reason === "overloaded" || this.failuresSinceToken > failuresWithoutBackoff
            ? backoffMilliseconds(this.failuresSinceToken, random)
            : 0;
        if (this.generated.length > 0) {
            await delay(wait, this.cancellation.signal);
            return !this.finished;
        }
        while (!this.finished) {
            if (wait > 0) {
                await delay(wait, this.cancellation.signal);
            }
            if (this.finished || retryBudgets.forRoute(name, retryShare).tryTake()) {
                break;
            }
            this.dependencies.metrics.increment("pomelostall.retry.budget_empty");
            wait = backoffMilliseconds(emptyBudgetBackoffExponent, random);
        }
        return !this.finished;
    }

    private startAttempt(): void {
        const remaining = this.request.deadline - monotonicNow();
        if (remaining <= 0) {
            this.fail(new DeadlineExceededError(this.outcome));
            return;
        }
        const choice = this.choosePipeline();
        if (choice === undefined) {
            return;
        }
        if (choice.expectedFirstTokenMilliseconds > remaining) {
            this.failUnreachableDeadline(choice);
            return;
        }
        this.dispatch(choice, remaining);
    }

    private choosePipeline(): PipelineChoice | undefined {
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
                excluded: this.recoveryState.excluded(ejected),
                survivingStages: this.dependencies.recoveryStrategy === RecoveryStrategy.restart
                    ? []
                    : this.recoveryState.surviving(ejected),
            });
        }
        catch (error) {
            if (error instanceof NoPipelineError && this.recoveryState.clearSuspects()) {
                return this.choosePipeline();
            }
            this.fail(
                error instanceof NoPipelineError ? new NoPipelineError(this.request.model.name, this.outcome) : error,
            );
            return undefined;
        }
    }

    private failUnreachableDeadline(choice: PipelineChoice): void {
        const error = this.mayHaveRun
            ? new DeadlineExceededError(this.outcome)
            : new DeadlineUnreachableError(Math.ceil(choice.expectedFirstTokenMilliseconds / 1000));
        this.fail(error);
    }

    private dispatch(choice: PipelineChoice, remaining: number): void {
        const { connections, inFlightCounter: ledger, logger } = this.dependencies;
        const { plan } = choice;
        const first = plan.stages[0]!;
        const id = randomUUID();
        this.attemptCount++;
        this.awaitingFirstToken = true;
        // The pipeline chooser logs its decision by plan ID; this line maps the plan ID to the attempt ID.
        logger.debug("attempt started", {
            requestId: this.request.requestId,
            attemptId: id,
            planId: plan.id,
            attempt: this.attemptCount,
            position: this.generated.length,
        });
        const connection = connections.get(first.backendServer, first.address);
        const position = this.dependencies.recoveryStrategy === RecoveryStrategy.restart ? 0 : this.generated.length;
        const attempt = connection.startAttempt(
            createAttemptRequest(this.request, id, choice.plan, this.generated.slice(0, position), remaining),
            { freshConnection: this.attribution.hadSilentConnection(first.backendServer) },
        );
        const checker = new FrameChecker(id, plan, position, this.request.maximumTokens);
        const run = new AttemptRun(attempt, checker, first.backendServer, this);
        const expected = this.expectedTokens + choice.recomputedTokens;
        const servers = plan.stages.map(stage => this.progress.forServer(stage.backendServer));
        this.currentAttempt = {
            id,
            choice,
            run,
            servers,
            dispatchedAt: monotonicNow(),
            releaseInFlight: ledger.begin(plan, expected),
        };
        if (this.paused) {
            run.pause();
        }
        run.start();
        this.checkTimeouts();
    }

    /** Applies the deadline and the stall timeout, then arms one timer for the next time that either may expire. */
    private checkTimeouts(): void {
        clearTimeout(this.watchdog);
        if (this.finished) {
            return;
        }
        const now = monotonicNow();
        if (now >= this.request.deadline) {
            const attempt = this.currentAttempt;
            this.mayHaveRun ||= attempt !== undefined;
            this.fail(new DeadlineExceededError(this.outcome));
            attempt?.run.cancel();
            return;
        }
        const attempt = this.currentAttempt;
        if (
            attempt !== undefined && !this.paused && now >= stallDeadline(attempt, this.attemptCount === 1)
            && !isQueueing(attempt, now)
        ) {
            attempt.run.failStalled();
        }
        const stallAt = this.currentAttempt === undefined || this.paused
            ? Infinity
            : stallDeadline(this.currentAttempt, this.attemptCount === 1);
        const due = Math.min(this.request.deadline, Math.max(stallAt, now + minimumTokenStallMilliseconds / 4));
        this.watchdog = setTimeout(() => this.checkTimeouts(), Math.max(1, due - now));
    }

    private get expectedTokens(): number {
        const { route, maximumTokens } = this.request;
        return this.lengths.estimateRemaining(route.name, this.generated.length, maximumTokens);
    }

    private get outcome(): Outcome {
        return this.mayHaveRun ? Outcome.failed : Outcome.notRun;
    }

    private reportSuccess(): void {
        for (const stage of this.currentAttempt?.choice.plan.stages ?? []) {
            this.dependencies.health.recordSuccess(stage.backendServer);
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
        this.cancellation.abort();
        this.request.callerGone.removeEventListener("abort", this.abandon);
        this.currentAttempt?.releaseInFlight();
        this.currentAttempt = undefined;
    }
}
