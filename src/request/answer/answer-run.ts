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
import type { PipelineChoice } from "../pipeline-choice/types.js";
import { backoffMilliseconds } from "../retry/backoff.js";
import { type AttemptFailure, AttemptFailureKind } from "./attempt-failure.js";
import { type AttemptListener, AttemptRun } from "./attempt-run.js";
import {
    budgetEmptyBackoffRetry,
    maximumAttempts,
    maximumFruitlessAttempts,
    minimumFirstTokenStallMilliseconds,
    minimumResumeStallMilliseconds,
    minimumTokenStallMilliseconds,
    probeTimeoutMilliseconds,
    stallFactor,
} from "./constants.js";
import type { AnswerDependencies } from "./dependencies.js";
import { FrameChecker } from "./frame-checker.js";
import { RecoveryState } from "./recovery-state.js";
import type { AnswerEvent, AnswerRequest } from "./types.js";

interface CurrentAttempt {
    readonly id: string;
    readonly choice: PipelineChoice;
    readonly run: AttemptRun;
    readonly endCount: () => void;
}

export class AnswerRun implements AttemptListener {
    private readonly generated: string[] = [];
    private readonly recovery = new RecoveryState();
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
    private dispatchedAt = 0;
    private finished = false;
    /** When the last attempt failed, until the caller's next token. */
    private failedAt: number | undefined;

    constructor(
        private readonly request: AnswerRequest,
        private readonly dependencies: AnswerDependencies,
        private readonly emitter: Emitter<AnswerEvent>,
    ) {
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
        this.generated.push(frame.text);
        this.fruitlessAttempts = 0;
        if (this.awaitsFirstToken) {
            this.awaitsFirstToken = false;
            this.dependencies.capacity?.firstToken(monotonicNow() - this.dispatchedAt);
            this.watch();
        }
        if (this.failedAt !== undefined) {
            this.dependencies.metrics.timing("pomelostall.answer.recovery", monotonicNow() - this.failedAt);
            this.failedAt = undefined;
        }
        this.emitter.next({ type: "token", position: frame.position, text: frame.text });
    }

    end(frame: EndFrame): void {
        this.reportSuccess();
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

    private async recover(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        if (failure.mayHaveRun) {
            this.recovery.keepCache(attempt.choice.plan, attempt.id, attempt.run.madeProgress);
        }
        await this.assignBlame(attempt, failure);
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
     * Waits until another attempt may start. One that gave the caller tokens is resumed at once: its admitted work is
     * merely moved. One that gave none is a retry: it is taken from the route's budget, after a backoff if the backend
     * server was overloaded.
     */
    private async waitForRetry(attempt: CurrentAttempt, failure: AttemptFailure): Promise<boolean> {
        if (attempt.run.madeProgress) {
            return true;
        }
        const { random, retryBudgets } = this.dependencies;
        const { name, retryShare } = this.request.route;
        let wait = failure.reason === "overloaded" || this.fruitlessAttempts > 2
            ? backoffMilliseconds(this.fruitlessAttempts, random)
            : 0;
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

    /** Decides which backend servers to leave out of the next plan. */
    private async assignBlame(attempt: CurrentAttempt, failure: AttemptFailure): Promise<void> {
        const { health } = this.dependencies;
        switch (failure.kind) {
            case AttemptFailureKind.refused:
                this.recovery.exclude(failure.backendServer!);
                if (failure.reason === "draining") {
                    health.draining(failure.backendServer!);
                }
                else if (failure.reason === "overloaded") {
                    this.dependencies.capacity?.overloaded();
                }
                return;
            case AttemptFailureKind.connectionSilent:
            case AttemptFailureKind.stalled:
                await this.probeStages(attempt);
                return;
            default:
                if (failure.backendServer !== undefined) {
                    this.recovery.exclude(failure.backendServer);
                    health.failed(failure.backendServer, failure.reason);
                }
        }
    }

    /** Asks every stage over a new connection whether it is there; those that do not answer are left out. */
    private async probeStages(attempt: CurrentAttempt): Promise<void> {
        const { connections, health } = this.dependencies;
        await Promise.all(attempt.choice.plan.stages.map(async stage => {
            try {
                const connection = connections.get(stage.backendServer, stage.address);
                await connection.readHoldings(probeTimeoutMilliseconds);
                this.recovery.suspect(stage.backendServer);
            }
            catch {
                this.recovery.exclude(stage.backendServer);
                health.failed(stage.backendServer, "silent");
            }
        }));
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
                expectedTokens: Math.max(1, this.request.maximumTokens - this.generated.length),
                generatedTokens: this.generated.length,
                prefixBlocks: this.prefixBlocks,
                excluded: this.recovery.excluded(ejected),
                surviving: this.recovery.surviving(ejected),
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
        this.dispatchedAt = monotonicNow();
        logger.decision({
            kind: this.attempts === 1 ? "pipeline" : "recovery",
            chosen: plan.stages.map(stage => stage.backendServer).join(">"),
            over: choice.considered,
            reason: choice.reason,
            configurationVersion: this.request.configuration.version,
            requestId: this.request.requestId,
            fields: { attemptId: id, planId: plan.id, position: this.generated.length },
        });
        const connection = connections.get(first.backendServer, first.address);
        const attempt = connection.startAttempt(this.attemptRequest(id, choice, remaining));
        const checker = new FrameChecker(id, plan, this.generated.length, this.request.maximumTokens);
        const run = new AttemptRun(attempt, checker, first.backendServer, this);
        const expected = this.request.maximumTokens - this.generated.length + choice.recomputedTokens;
        this.current = { id, choice, run, endCount: ledger.begin(plan, expected) };
        if (this.paused) {
            run.pause();
        }
        run.start();
        this.watch();
    }

    private attemptRequest(id: string, choice: PipelineChoice, remaining: number): AttemptRequest {
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
            generated: [...this.generated],
            maximumTokens,
            priority: route.priority,
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
        if (attempt !== undefined && !this.paused && now >= this.stallDue(attempt)) {
            attempt.run.stall();
        }
        const stallDue = this.current === undefined || this.paused ? Infinity : this.stallDue(this.current);
        const due = Math.min(this.request.deadline, Math.max(stallDue, now + minimumTokenStallMilliseconds / 4));
        this.watchdog = setTimeout(() => this.watch(), Math.max(1, due - now));
    }

    private stallDue(attempt: CurrentAttempt): number {
        const { run, choice } = attempt;
        if (run.madeProgress) {
            const bound = stallFactor * choice.expectedTokenMilliseconds;
            return run.lastProgress + Math.max(minimumTokenStallMilliseconds, bound);
        }
        const minimum = this.attempts === 1 ? minimumFirstTokenStallMilliseconds : minimumResumeStallMilliseconds;
        return run.lastProgress + Math.max(minimum, stallFactor * choice.expectedFirstTokenMilliseconds);
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
