/**
 * Passes a request to a plain service. An answer is read whole before any of it reaches the caller, so that one that
 * breaks off can be asked for again elsewhere. What may not be repeated goes to another server only if the one before
 * certainly has not run it.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { type BufferedResponse, readResponse } from "../../connection/gateway/read-answer.js";
import { RouteKind } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import {
    ConnectionFailedError,
    DeadlineExceededError,
    ExchangeFailedError,
    NoServerAvailableError,
    Outcome,
} from "../../errors/index.js";
import type { WindowedRetryBudget } from "../../process/gateway/retry-allowance.js";
import type { LocalServerLoad } from "../../process/gateway/server-load.js";
import type { ServerExclusions } from "../../process/gateway/server-suspicions.js";
import { AnswerVerdict, judgeAnswer } from "./answer-check.js";
import type { CallerResponse } from "./caller-response.js";
import { hasPassed } from "./deadline.js";
import type { GatewayHeaders } from "./headers.js";
import type { PlainServerChooser } from "./plain-server-chooser.js";
import type { GatewayRequest } from "./types.js";

export interface PlainForwarderParts {
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly servers: PlainServerChooser;
    readonly load: LocalServerLoad;
    readonly suspicions: ServerExclusions;
    readonly retries: WindowedRetryBudget;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** A new connection is made in a round trip; longer means a lost packet, a full queue or a lost server. */
const connectTimeoutMilliseconds = 300;
/** Bounds what one answer may take of this process's memory. */
const maximumAnswerBytes = 16_000_000;
/** Servers that may refuse a request before its caller is told to come back. */
const maximumRefusals = 3;
/** A full server has a free slot again after about this time. */
const retryAfterSeconds = 0.2;
const lowestServerFailure = 500;

type Attempt =
    | { readonly verdict: typeof AnswerVerdict.answered; readonly answer: BufferedResponse; }
    | { readonly verdict: typeof AnswerVerdict.notRun | typeof AnswerVerdict.invalid; readonly reason: string; };

export class PlainForwarder {
    constructor(private readonly parts: PlainForwarderParts) {}

    /** Throws a PomelostallError if there is no answer to pass on. */
    async forward(request: GatewayRequest, response: CallerResponse): Promise<void> {
        const answer = await this.obtain(request);
        response.writeWhole(answer.head, answer.body);
    }

    private async obtain(request: GatewayRequest): Promise<BufferedResponse> {
        const tried = new Set<string>();
        let runs = 0;
        let refusals = 0;
        let failure: BufferedResponse | undefined;
        let reason = "none is registered";
        const repeatable = request.route.kind === RouteKind.idempotent;
        this.parts.retries.recordRequest(request.service);
        for (;;) {
            const server = this.parts.servers.choose(request.service, tried);
            const first = tried.size === 0;
            if (server === undefined || (!first && !this.parts.retries.tryConsume(request.service))) {
                return this.conclude(request, failure, runs, reason);
            }
            tried.add(server.id);
            const attempt = await this.attempt(request, server);
            if (attempt.verdict === AnswerVerdict.answered) {
                if (attempt.answer.head.status < lowestServerFailure || !repeatable) {
                    return attempt.answer;
                }
                failure = attempt.answer;
            }
            if (attempt.verdict === AnswerVerdict.notRun) {
                refusals++;
            }
            else {
                runs++;
            }
            reason = attempt.verdict === AnswerVerdict.answered ? "it failed" : attempt.reason;
            const mayGoOn = runs === 0 || (repeatable && runs < request.route.maximumAttempts);
            const callerWaits = !request.callerGone.aborted && !hasPassed(request.deadline);
            if (!mayGoOn || refusals > maximumRefusals || !callerWaits) {
                return this.conclude(request, failure, runs, reason);
            }
        }
    }

    private async attempt(request: GatewayRequest, server: ServerEntry): Promise<Attempt> {
        const { parts } = this;
        const endLoad = parts.load.beginRequest([server.id], 0);
        const sentAt = monotonicNow();
        let attempt: Attempt;
        try {
            const answer = await readResponse(server, {
                method: request.method,
                path: request.target,
                headers: parts.headers.forAttempt(request, { server }),
                body: request.body,
            }, {
                connectTimeoutMilliseconds,
                timeoutMilliseconds: Math.max(1, request.deadline - sentAt),
                maximumBytes: maximumAnswerBytes,
                signal: request.callerGone,
            });
            const verdict = judgeAnswer(answer.head, request.id, parts.dialect.headers);
            attempt = verdict === AnswerVerdict.answered
                ? { verdict, answer }
                : { verdict, reason: `status ${answer.head.status}` };
        }
        catch (error) {
            if (!(error instanceof ConnectionFailedError)) {
                throw error;
            }
            const verdict = error.bytesWritten ? AnswerVerdict.invalid : AnswerVerdict.notRun;
            attempt = { verdict, reason: `connection ${error.failure}` };
        }
        finally {
            endLoad();
        }
        this.note(request, server, attempt, monotonicNow() - sentAt);
        return attempt;
    }

    private conclude(
        request: GatewayRequest,
        failure: BufferedResponse | undefined,
        runs: number,
        reason: string,
    ): BufferedResponse {
        if (failure !== undefined) {
            return failure;
        }
        if (hasPassed(request.deadline)) {
            throw new DeadlineExceededError(runs > 0 ? Outcome.unknown : Outcome.notRun);
        }
        throw runs > 0
            ? new ExchangeFailedError(reason)
            : new NoServerAvailableError(request.service, reason, retryAfterSeconds);
    }

    private note(request: GatewayRequest, server: ServerEntry, attempt: Attempt, milliseconds: number): void {
        const answered = attempt.verdict === AnswerVerdict.answered;
        if (answered) {
            this.parts.suspicions.recordSuccess(server.id);
        }
        else if (!request.callerGone.aborted) {
            this.parts.suspicions.recordFailure(server.id, attempt.reason);
        }
        this.parts.metrics.increment("pomelostall.gateway.service_attempts", 1, { outcome: attempt.verdict });
        this.parts.logger.decision({
            kind: "service-attempt",
            chosen: server.id,
            over: [],
            reason: answered ? `status ${attempt.answer.head.status}` : attempt.reason,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: { outcome: attempt.verdict, milliseconds: Math.round(milliseconds) },
        });
    }
}
