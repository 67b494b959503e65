/**
 * Forwards a request to a plain service, which is one without a model engine. The response is buffered completely
 * before any of it is sent to the caller, so that the request can be retried on another backend server if the response
 * breaks off. A request that is not idempotent is sent to another backend server only if the previous one certainly did
 * not run it.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { type BufferedResponse, readResponse } from "../../connection/gateway/read-response.js";
import { RouteKind } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import {
    CallerGoneError,
    ConnectionFailedError,
    ConnectionFailure,
    DeadlineExceededError,
    ExchangeFailedError,
    NoServerAvailableError,
    Outcome,
    RouterDrainingError,
} from "../../errors/index.js";
import type { LocalServerLoad } from "../../process/gateway/local-server-load.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import {
    AttemptEvidence,
    type ObservedRequest,
    type ServerFailures,
} from "../../process/gateway/server-failures/types.js";
import type { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";
import type { WindowedRetryBudget } from "../../process/gateway/windowed-retry-budget.js";
import type { RequestCostEstimator, RequestOrigin } from "../../process/request-costs/types.js";
import { evidenceOfFailure, evidenceOfVerdict } from "./attempt-evidence.js";
import type { CallerResponse } from "./caller-response.js";
import { CrashGuard, type CrashGuardDependencies, refuseBlockedPrompt } from "./crash-guard.js";
import { hasPassed } from "./deadline.js";
import type { FailedAttemptLoad } from "./failed-attempt-load.js";
import type { GatewayHeaders } from "./headers.js";
import { impliesNotRun } from "./not-run-statuses.js";
import type { PlainServerChooser } from "./plain-server-chooser.js";
import { checkResponse, ResponseVerdict } from "./response-check.js";
import type { RetryAdvice } from "./retry-advice.js";
import type { GatewayRequest } from "./types.js";

export interface PlainForwarderDependencies extends CrashGuardDependencies {
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly servers: PlainServerChooser;
    readonly load: LocalServerLoad;
    readonly costs: RequestCostEstimator;
    readonly failedAttemptLoad: FailedAttemptLoad;
    readonly exclusions: ServerExclusions;
    readonly serverFailures: ServerFailures;
    readonly retries: WindowedRetryBudget;
    readonly retryAdvice: RetryAdvice;
    readonly responseObserver: ResponseObserver;
    readonly shutdown: ShutdownGrace;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** Connecting takes one round trip; a longer time means a lost packet, a full accept queue or a lost server. */
const connectTimeoutMilliseconds = 300;
/** Limits the memory that one buffered response takes; the memory ledger limits that of all together. */
const maximumResponseBytes = 16_000_000;
/** The request fails with Retry-After once more backend servers than this have refused it. */
const maximumRefusals = 3;
/** A full backend server has a free slot again after about this time. */
const expectedWaitMilliseconds = 200;
const lowestServerErrorStatus = 500;

type Attempt =
    | { readonly verdict: typeof ResponseVerdict.answered; readonly answer: BufferedResponse; }
    | {
        readonly verdict: typeof ResponseVerdict.notRun | typeof ResponseVerdict.invalid;
        readonly reason: string;
        /** Whether the attempt ended before the server could be at fault. */
        readonly endedByGateway: boolean;
        /** Whether the request was given up while the server may still have been running it. */
        readonly abandoned?: boolean;
    };

/** Failures that say nothing about the server. */
const gatewayFailures: ReadonlySet<ConnectionFailure> = new Set([
    ConnectionFailure.cancelled,
    ConnectionFailure.expired,
    ConnectionFailure.unsendable,
    ConnectionFailure.internal,
]);

const abandonments: ReadonlySet<ConnectionFailure> = new Set([
    ConnectionFailure.cancelled,
    ConnectionFailure.expired,
]);

export class PlainForwarder {
    private readonly boundary: FailureBoundary;

    constructor(private readonly dependencies: PlainForwarderDependencies) {
        this.boundary = dependencies.failures.createBoundary("load of failed service attempts");
    }

    /** Throws a PomelostallError if there is no response to forward. */
    async forward(request: GatewayRequest, response: CallerResponse): Promise<void> {
        const answer = await this.fetchResponse(request);
        response.writeBuffered(answer.head, answer.body);
    }

    private async fetchResponse(request: GatewayRequest): Promise<BufferedResponse> {
        const crashGuard = new CrashGuard(this.dependencies, request);
        const observed = this.dependencies.serverFailures.beginRequest();
        const tried = new Set<string>();
        let executions = 0;
        let refusals = 0;
        let serverError: BufferedResponse | undefined;
        let reason = "no active backend server is registered";
        const retryable = request.route.kind === RouteKind.idempotent;
        this.dependencies.retries.recordRequest(request.service);
        for (;;) {
            if (!this.dependencies.shutdown.allowsStart(request.deadline)) {
                if (executions === 0) {
                    throw new RouterDrainingError(0);
                }
                return this.finishWithoutSuccess(request, serverError, executions, reason);
            }
            if (executions === 0) {
                refuseBlockedPrompt(this.dependencies.quarantine, request);
            }
            const objection = await crashGuard.findObjection();
            const server = objection === undefined
                ? this.dependencies.servers.choose(
                    request.service,
                    tried,
                    retryable && executions + 1 < request.route.maximumAttempts,
                )
                : undefined;
            const isFirstAttempt = tried.size === 0;
            if (server === undefined || (!isFirstAttempt && !this.dependencies.retries.tryConsume(request.service))) {
                return this.finishWithoutSuccess(request, serverError, executions, objection ?? reason);
            }
            tried.add(server.id);
            const attempt = await this.attempt(request, server, crashGuard, observed);
            if (attempt.verdict === ResponseVerdict.answered) {
                const { status } = attempt.answer.head;
                if (!retryable || (status < lowestServerErrorStatus && !impliesNotRun(status))) {
                    return attempt.answer;
                }
                serverError = impliesNotRun(status) ? serverError : attempt.answer;
            }
            if (attempt.verdict === ResponseVerdict.notRun) {
                refusals++;
            }
            else {
                executions++;
            }
            reason = attempt.verdict === ResponseVerdict.answered
                ? "the backend server responded with a server error"
                : attempt.reason;
            const mayRetry = executions === 0 || (retryable && executions < request.route.maximumAttempts);
            if (request.callerGone.aborted) {
                throw new CallerGoneError(executions > 0 ? Outcome.unknown : Outcome.notRun);
            }
            if (!mayRetry || refusals > maximumRefusals || hasPassed(request.deadline)) {
                return this.finishWithoutSuccess(request, serverError, executions, reason);
            }
        }
    }

    private async attempt(
        request: GatewayRequest,
        server: ServerEntry,
        crashGuard: CrashGuard,
        observed: ObservedRequest,
    ): Promise<Attempt> {
        const { dependencies } = this;
        const origin = { service: request.service, route: request.route.name, customer: request.customer };
        const runTime = dependencies.costs.estimateRunTime(origin, server.id);
        const endLoad = dependencies.load.beginPlainRequest(server.id, runTime);
        const observedAttempt = observed.beginAttempt([server]);
        let evidence: AttemptEvidence = AttemptEvidence.none;
        let failedAtServer = false;
        const sentAt = monotonicNow();
        let attempt: Attempt;
        try {
            const answer = await readResponse(server, {
                method: request.method,
                path: request.target,
                headers: () => dependencies.headers.forAttempt(request, { server }),
                body: request.body,
            }, {
                connectTimeoutMilliseconds,
                deadline: request.deadline,
                callerGone: request.callerGone,
                responseObserver: dependencies.responseObserver,
                failures: dependencies.failures,
                maximumBytes: maximumResponseBytes,
                memory: request.memory,
            });
            const verdict = checkResponse(answer.head, request.id, dependencies.dialect.headers);
            failedAtServer = verdict !== ResponseVerdict.answered || answer.head.status >= lowestServerErrorStatus;
            if (verdict === ResponseVerdict.answered) {
                crashGuard.recordSurvival();
            }
            evidence = evidenceOfVerdict(verdict, answer.head.status);
            attempt = verdict === ResponseVerdict.answered
                ? { verdict, answer }
                : { verdict, reason: `status ${answer.head.status}`, endedByGateway: false };
        }
        catch (error) {
            if (!(error instanceof ConnectionFailedError)) {
                throw error;
            }
            if (error.failure === ConnectionFailure.broken) {
                crashGuard.recordLoss(server, false);
            }
            failedAtServer = !gatewayFailures.has(error.failure);
            evidence = evidenceOfFailure(error.failure);
            const verdict = error.bytesWritten ? ResponseVerdict.invalid : ResponseVerdict.notRun;
            attempt = {
                verdict,
                reason: error.reason,
                endedByGateway: gatewayFailures.has(error.failure),
                abandoned: abandonments.has(error.failure),
            };
        }
        finally {
            this.endLoad(endLoad, failedAtServer);
            observedAttempt.end(evidence);
        }
        this.recordRunTime(origin, server.id, attempt, sentAt);
        this.recordAttempt(request, server, attempt, sentAt, runTime.meanMilliseconds);
        return attempt;
    }

    private endLoad(endLoad: () => void, failedAtServer: boolean): void {
        const { heldMilliseconds } = this.dependencies.failedAttemptLoad;
        if (!failedAtServer || heldMilliseconds === 0) {
            endLoad();
            return;
        }
        this.dependencies.metrics.increment("pomelostall.gateway.service_failures_held");
        setTimeout(this.boundary.wrap(endLoad), heldMilliseconds).unref();
    }

    private finishWithoutSuccess(
        request: GatewayRequest,
        serverError: BufferedResponse | undefined,
        executions: number,
        reason: string,
    ): BufferedResponse {
        if (serverError !== undefined) {
            return serverError;
        }
        if (hasPassed(request.deadline)) {
            throw new DeadlineExceededError(executions > 0 ? Outcome.unknown : Outcome.notRun);
        }
        throw executions > 0
            ? new ExchangeFailedError(reason)
            : new NoServerAvailableError(request.service, reason, this.retryAfterSeconds(request));
    }

    private retryAfterSeconds({ service, deadline }: GatewayRequest): number {
        return this.dependencies.retryAdvice.retryAfterSeconds({
            expectedMilliseconds: expectedWaitMilliseconds,
            unavailableMilliseconds: this.dependencies.servers.pauseMilliseconds(service),
            remainingMilliseconds: deadline - monotonicNow(),
        });
    }

    /** A server error says nothing about the time that the work takes: a faulty server fails at once. */
    private recordRunTime(origin: RequestOrigin, serverId: string, attempt: Attempt, sentAt: number): void {
        const complete = attempt.verdict === ResponseVerdict.answered
            && attempt.answer.head.status < lowestServerErrorStatus;
        if (complete || (attempt.verdict !== ResponseVerdict.answered && attempt.abandoned)) {
            const milliseconds = monotonicNow() - sentAt;
            this.dependencies.costs.recordRunTime({ ...origin, serverId, milliseconds, complete });
        }
    }

    private recordAttempt(
        request: GatewayRequest,
        server: ServerEntry,
        attempt: Attempt,
        sentAt: number,
        expectedMilliseconds: number,
    ): void {
        const hasResponse = attempt.verdict === ResponseVerdict.answered;
        if (hasResponse) {
            this.dependencies.exclusions.recordSuccess(server);
        }
        else if (!attempt.endedByGateway) {
            this.dependencies.exclusions.recordFailure(server, attempt.reason);
        }
        this.dependencies.metrics.increment("pomelostall.gateway.service_attempts", 1, { outcome: attempt.verdict });
        this.dependencies.logger.decision({
            kind: "service-attempt",
            chosen: server.id,
            over: [],
            reason: hasResponse ? `status ${attempt.answer.head.status}` : attempt.reason,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: {
                outcome: attempt.verdict,
                startedAfterMilliseconds: Math.round(sentAt - request.receivedAt),
                milliseconds: Math.round(monotonicNow() - sentAt),
                route: request.route.name,
                expectedMilliseconds: Math.round(expectedMilliseconds),
            },
        });
    }
}
