/**
 * Forwards a stream from the model engines to one caller. If an attempt breaks off and the route is resumable, another
 * attempt runs on a path without the servers at fault and resumes after the last event that the caller has received.
 */
import { monotonicNow } from "../../common/clock.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import { formatSocketAddress } from "../../domain/gateway/server-entry.js";
import {
    CallerGoneError,
    DeadlineExceededError,
    ExchangeFailedError,
    NoServerAvailableError,
    Outcome,
} from "../../errors/index.js";
import type { FirstEventLatency } from "../../process/gateway/first-event-latency.js";
import type { LocalServerLoad } from "../../process/gateway/local-server-load.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { WindowedRetryBudget } from "../../process/gateway/windowed-retry-budget.js";
import { AttemptSupervisor, type RunningAttempts, type SupervisionDependencies } from "./attempt-supervisor.js";
import type { CallerResponse } from "./caller-response.js";
import { hasPassed } from "./deadline.js";
import type { GatewayHeaders } from "./headers.js";
import { addressedParts, formatPath, type LayerPath, type RequestSize } from "./layer-path-finder.js";
import { pollUntilDefined } from "./poll-until-defined.js";
import type { RetryAdvice } from "./retry-advice.js";
import { computeStallLimits } from "./stall-limits.js";
import { AttemptEnd, type AttemptResult, StreamAttempt } from "./stream-attempt.js";
import { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface StreamRequestDependencies extends SupervisionDependencies {
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly registry: ServerRegistry;
    readonly load: LocalServerLoad;
    readonly retries: WindowedRetryBudget;
    readonly firstEvents: FirstEventLatency;
    readonly retryAdvice: RetryAdvice;
}

/** The request fails once backend servers have refused it more often than this, with Retry-After if it has not run. */
const maximumRefusals = 5;
/** Delay before a request may return to a server that refused it: some requests of a busy engine end in this time. */
const refusedServerRetryMilliseconds = 100;
const serviceUnavailableStatus = 503;

export class StreamRequestHandler {
    private readonly avoidedServers = new Set<string>();
    private readonly progress: StreamProgress;
    private refusals = 0;
    /** Attempts that a backend server may have run. */
    private executions = 0;

    constructor(
        private readonly dependencies: StreamRequestDependencies,
        private readonly runningAttempts: RunningAttempts,
        private readonly request: GatewayRequest,
        private readonly engine: EngineProfile,
        private readonly response: CallerResponse,
    ) {
        this.progress = new StreamProgress(response);
    }

    /** Throws a PomelostallError if the stream could not be completed. */
    async run(): Promise<void> {
        this.dependencies.retries.recordRequest(this.request.service);
        for (;;) {
            const chosenPath = await this.choosePath();
            const startedAt = monotonicNow();
            const { result, path } = await this.attempt(chosenPath);
            this.log(path, result, startedAt);
            if (this.request.callerGone.aborted) {
                throw new CallerGoneError(this.outcome(result));
            }
            if (result.end === AttemptEnd.complete) {
                path.parts.forEach(({ server }) => this.dependencies.exclusions.recordSuccess(server.id));
                this.progress.end();
                return;
            }
            this.avoidFaultyServers(path, result);
            if (this.finishOrRetry(result)) {
                return;
            }
        }
    }

    private async choosePath(): Promise<LayerPath> {
        const { request, engine, dependencies } = this;
        const size = requestSize(request, engine);
        const chooseAvoiding = (avoided: ReadonlySet<string>) =>
            dependencies.paths.choose(request.service, engine, size, avoided);
        // A server that refused the request for lack of capacity has capacity again when one of its requests ends.
        const includeAvoidedAt = monotonicNow() + refusedServerRetryMilliseconds;
        const findPath = () =>
            chooseAvoiding(this.avoidedServers)
                ?? (monotonicNow() >= includeAvoidedAt ? chooseAvoiding(new Set()) : undefined);
        const path = await pollUntilDefined(findPath, {
            since: this.progress.lastEventAt ?? request.receivedAt,
            callerTimeoutMilliseconds: request.deadline - request.receivedAt,
            callerGone: request.callerGone,
        }) ?? chooseAvoiding(new Set());
        if (path === undefined) {
            this.failRequest("no path of available backend servers covers all layers");
        }
        return path;
    }

    /** Runs one attempt. Returns how it ended, and its last path, which differs from `path` after a move. */
    private async attempt(path: LayerPath): Promise<{ result: AttemptResult; path: LayerPath; }> {
        const { request, dependencies, progress } = this;
        const server = path.parts[0]!.server;
        const size = requestSize(request, this.engine);
        const endLoad = dependencies.load.beginRequest(
            path.parts.map(part => part.server.id),
            size.promptTokens + size.outputTokens,
        );
        const attempt = new StreamAttempt(
            server,
            {
                method: request.method,
                path: request.target,
                body: request.body,
                headers: () =>
                    dependencies.headers.forAttempt(request, {
                        server,
                        layerPath: dependencies.dialect.formatLayerPath(addressedParts(path)),
                        lastEventId: progress.lastEventId,
                    }),
            },
            request.id,
            dependencies.dialect.headers,
            progress,
            { deadline: request.deadline, callerGone: request.callerGone },
        );
        const sentAt = monotonicNow();
        const supervisor = this.supervise(path, attempt, size);
        progress.attach(attempt, supervisor.stallDetector);
        try {
            const result = await attempt.result;
            this.recordFirstEventTime(sentAt, result);
            return { result, path: supervisor.path };
        }
        finally {
            supervisor.stop();
            endLoad();
        }
    }

    /**
     * Records the time to the first event. An attempt that stalled before its first event counts with its duration, a
     * lower bound of that time.
     */
    private recordFirstEventTime(sentAt: number, result: AttemptResult): void {
        const { progress, dependencies, request } = this;
        const stalledWhileReachable = result.end === AttemptEnd.stalled && result.lostServers?.length === 0;
        const firstEventOrStallAt = progress.firstEventAt ?? (stalledWhileReachable ? monotonicNow() : undefined);
        if (firstEventOrStallAt !== undefined && firstEventOrStallAt > sentAt) {
            dependencies.firstEvents.record(request.service, firstEventOrStallAt - sentAt);
        }
    }

    private supervise(path: LayerPath, attempt: StreamAttempt, size: RequestSize): AttemptSupervisor {
        const { request, engine, dependencies, progress } = this;
        const { route, service } = request;
        return new AttemptSupervisor(dependencies, this.runningAttempts, {
            request,
            attempt,
            path,
            size,
            progress,
            limits: computeStallLimits(route, dependencies.firstEvents.upperBound(service)),
            mayRerun: () =>
                route.resumable && this.executions + 1 < route.maximumAttempts && dependencies.retries.allows(service),
            choosePath: avoided =>
                dependencies.paths.choose(service, engine, size, new Set([...this.avoidedServers, ...avoided])),
            chooseReplacement: (current, lost) =>
                dependencies.paths.chooseReplacement(service, engine, size, current, lost),
        });
    }

    /** Excludes the servers at fault from the paths of later attempts. */
    private avoidFaultyServers(path: LayerPath, result: AttemptResult): void {
        const atFault = this.serverAtFault(result);
        const firstServerId = path.parts[0]!.server.id;
        if (result.end === AttemptEnd.notRun) {
            this.avoidedServers.add(atFault ?? firstServerId);
            this.recordRefusal(atFault ?? firstServerId, result);
        }
        else if (result.lostServers !== undefined && result.lostServers.length > 0) {
            result.lostServers.forEach(({ id }) => this.avoidedServers.add(id));
        }
        else if (result.end === AttemptEnd.broken || result.end === AttemptEnd.stalled) {
            path.parts.forEach(part => this.avoidedServers.add(part.server.id));
        }
    }

    private recordRefusal(serverId: string, { head, reason, unsendable }: AttemptResult): void {
        const { exclusions } = this.dependencies;
        if (unsendable === true) {
            return;
        }
        if (head?.status === serviceUnavailableStatus) {
            exclusions.recordRefusal(serverId, reason);
        }
        else {
            exclusions.recordFailure(serverId, reason);
        }
    }

    /** Returns the ID of the server that a refusal names as the cause, if it names a registered one. */
    private serverAtFault(result: AttemptResult): string | undefined {
        const { dialect, registry } = this.dependencies;
        const address = dialect.parseAddress(headerText(result, dialect.headers.serverAtFault));
        return address === undefined ? undefined : registry.findByAddress(formatSocketAddress(address))?.entry.id;
    }

    /**
     * Returns true if the backend server's error response was forwarded to the caller, and false if another attempt is
     * allowed. Throws otherwise.
     */
    private finishOrRetry(result: AttemptResult): boolean {
        const { request, dependencies } = this;
        if (hasPassed(request.deadline)) {
            this.abortWith(new DeadlineExceededError(this.outcome(result)));
        }
        if (result.end === AttemptEnd.notRun) {
            this.refusals++;
        }
        else {
            this.executions++;
        }
        const exhausted = this.executions >= request.route.maximumAttempts || this.refusals > maximumRefusals;
        const retryable = this.executions === 0 || request.route.resumable;
        if (exhausted || !retryable || !dependencies.retries.tryConsume(request.service)) {
            if (result.end === AttemptEnd.failure && !this.response.started) {
                this.response.writeBuffered(result.head!, result.body!);
                return true;
            }
            this.failRequest(result.reason);
        }
        return false;
    }

    private outcome(lastResult: AttemptResult): Outcome {
        return this.executions > 0 || lastResult.end !== AttemptEnd.notRun ? Outcome.unknown : Outcome.notRun;
    }

    private failRequest(reason: string): never {
        const error = this.executions > 0
            ? new ExchangeFailedError(reason)
            : new NoServerAvailableError(this.request.service, reason, this.retryAfterSeconds());
        return this.abortWith(error);
    }

    private retryAfterSeconds(): number {
        const { request, engine, dependencies } = this;
        return dependencies.retryAdvice.retryAfterSeconds({
            expectedMilliseconds: dependencies.paths.expectedWaitMilliseconds(
                request.service,
                engine,
                requestSize(request, engine),
            ),
            remainingMilliseconds: request.deadline - monotonicNow(),
        });
    }

    private abortWith(error: DeadlineExceededError | ExchangeFailedError | NoServerAvailableError): never {
        if (this.response.started) {
            this.response.abortConnection();
        }
        throw error;
    }

    private log(path: LayerPath, result: AttemptResult, startedAt: number): void {
        this.dependencies.metrics.increment("pomelostall.gateway.stream_attempts", 1, { outcome: result.end });
        this.dependencies.logger.decision({
            kind: "stream-attempt",
            chosen: formatPath(path),
            over: [],
            reason: result.reason,
            configurationVersion: this.request.configurationVersion,
            requestId: this.request.id,
            fields: {
                outcome: result.end,
                atFault: this.serverAtFault(result),
                cost: Math.round(path.cost),
                registryGeneration: this.dependencies.registry.generation,
                lastEventId: this.progress.lastEventId,
                firstEventMilliseconds: this.progress.firstEventAt === undefined
                    ? undefined
                    : Math.round(this.progress.firstEventAt - this.request.receivedAt),
                longestPauseMilliseconds: Math.round(this.progress.longestPauseMilliseconds),
                startedAfterMilliseconds: Math.round(startedAt - this.request.receivedAt),
                milliseconds: Math.round(monotonicNow() - this.request.receivedAt),
            },
        });
    }
}

function headerText(result: AttemptResult, name: string): string | undefined {
    const value = result.head?.headers[name];
    return typeof value === "string" ? value : undefined;
}

function requestSize(request: GatewayRequest, engine: EngineProfile): RequestSize {
    const outputTokens = Math.min(engine.typicalOutputTokens, request.tokens?.maximumOutput ?? Infinity);
    return { promptTokens: request.tokens?.prompt ?? engine.typicalPromptTokens, outputTokens: outputTokens };
}
