/**
 * Forwards a stream from the model engines to one caller. If a run breaks off and the route is resumable, another one on a
 * path without the servers at fault resumes after the last event that the caller has received. If a run is only suspected,
 * because it is silent or a server of its path is lost, the new run competes with it: whichever delivers the next event
 * goes on, and the other is ended.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import {
    CallerGoneError,
    ConnectionFailure,
    DeadlineExceededError,
    ExchangeFailedError,
    NoServerAvailableError,
    Outcome,
    type PomelostallError,
    RouterDrainingError,
} from "../../errors/index.js";
import type { FirstEventLatency } from "../../process/gateway/first-event-latency.js";
import type { ObservedRequest, ServerFailures } from "../../process/gateway/server-failures/types.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { ShutdownGrace } from "../../process/gateway/shutdown-grace.js";
import type { WindowedRetryBudget } from "../../process/gateway/windowed-retry-budget.js";
import { evidenceOfStream } from "./attempt-evidence.js";
import type { RunningAttempts, SupervisionDependencies } from "./attempt-supervisor.js";
import type { CallerResponse } from "./caller-response.js";
import { CompetingRuns, type EndedRun } from "./competing-runs.js";
import { CrashGuard, type CrashGuardDependencies, refuseBlockedPrompt } from "./crash-guard.js";
import { hasPassed } from "./deadline.js";
import { EventSequence } from "./event-sequence.js";
import type { GatewayHeaders } from "./headers.js";
import { addressedParts, type LayerPath } from "./layer-path-finder.js";
import { pollUntilDefined, shortWaitEnd } from "./poll-until-defined.js";
import type { RetryAdvice } from "./retry-advice.js";
import { ServerFaults } from "./server-faults.js";
import { callerPatienceMilliseconds, computeStallLimits } from "./stall-limits.js";
import { AttemptEnd, type AttemptResult } from "./stream-attempt.js";
import { StreamCost, type StreamCostDependencies } from "./stream-cost.js";
import { StreamProgress } from "./stream-progress.js";
import { logEndedRun } from "./stream-run-log.js";
import { StreamRun } from "./stream-run.js";
import type { GatewayRequest } from "./types.js";

export interface StreamRequestDependencies
    extends SupervisionDependencies, CrashGuardDependencies, StreamCostDependencies
{
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly registry: ServerRegistry;
    readonly serverFailures: ServerFailures;
    readonly retries: WindowedRetryBudget;
    readonly firstEvents: FirstEventLatency;
    readonly retryAdvice: RetryAdvice;
    readonly responseObserver: ResponseObserver;
    readonly shutdown: ShutdownGrace;
    /** Time after which a server refuses a request that depends on a server which is gone. */
    readonly stallMilliseconds: number;
}

/** The request fails once backend servers have refused it more often than this, with Retry-After if it has not run. */
const maximumRefusals = 5;
/** Delay before a request may return to a server that refused it: some requests of a busy engine end in this time. */
const refusedServerRetryMilliseconds = 100;
/** Delay after the first refusal of a stream that has begun; doubles with each further refusal. */
const initialRefusalDelayMilliseconds = 25;

export class StreamRequestHandler {
    private readonly faults: ServerFaults;
    private readonly progress: StreamProgress;
    private readonly events: EventSequence;
    private readonly crashGuard: CrashGuard;
    private readonly runs: CompetingRuns<StreamRun>;
    private readonly cost: StreamCost;
    private readonly observed: ObservedRequest;
    private startedRuns = 0;
    private refusals = 0;

    constructor(
        private readonly dependencies: StreamRequestDependencies,
        private readonly runningAttempts: RunningAttempts,
        private readonly request: GatewayRequest,
        private readonly engine: EngineProfile,
        private readonly response: CallerResponse,
    ) {
        this.runs = new CompetingRuns(dependencies.failures);
        this.observed = dependencies.serverFailures.beginRequest();
        this.faults = new ServerFaults(dependencies);
        this.progress = new StreamProgress(response);
        this.events = new EventSequence(
            { resumedAfter: request.resumedAfter, resumable: request.route.resumable },
            request.tokens?.maximumOutput,
        );
        this.crashGuard = new CrashGuard(dependencies, request);
        this.cost = new StreamCost(dependencies, request, engine, this.progress);
    }

    /** Throws a PomelostallError if the stream could not be completed. */
    async run(): Promise<void> {
        this.dependencies.retries.recordRequest(this.request.service);
        this.cost.recordArrival();
        try {
            await this.startNextRun();
            let finished: boolean;
            do {
                finished = await this.handleEnd(await this.runs.nextEnd());
            }
            while (!finished);
        }
        finally {
            this.runs.endAll();
        }
    }

    /** Returns whether the request is finished. Throws a PomelostallError if it has failed. */
    private async handleEnd({ run, result }: EndedRun<StreamRun>): Promise<boolean> {
        this.log(run, result);
        this.recordFirstEventTime(run, result);
        this.recordLosses(run, result);
        if (this.request.callerGone.aborted) {
            throw new CallerGoneError(this.outcome(result));
        }
        if (result.end === AttemptEnd.complete) {
            run.path.parts.forEach(({ server }) => this.dependencies.exclusions.recordSuccess(server));
            this.progress.end();
            this.cost.recordComplete();
            return true;
        }
        this.countRefusal(result);
        this.faults.record(run.path, result);
        return this.runs.allEnded && await this.finishOrRetry(result);
    }

    /** A break says something of the server that held the connection; a refusal after a stall, of the one that it names. */
    private recordLosses({ path, startedAt }: StreamRun, result: AttemptResult): void {
        if (result.connectionFailure === ConnectionFailure.broken) {
            this.crashGuard.recordLoss(path.parts[0]!.server, result.survived);
        }
        else if (monotonicNow() - startedAt >= this.dependencies.stallMilliseconds) {
            const atFault = this.faults.serverAtFault(result);
            path.parts.filter(({ server }) => server.id === atFault?.id)
                .forEach(({ server }) => this.crashGuard.recordLoss(server, result.survived));
        }
    }

    private async startNextRun(): Promise<void> {
        await this.checkMaySend();
        const path = await this.choosePath();
        await this.checkMaySend();
        this.startRun(path);
    }

    /** Throws if the request might crash another backend server. */
    private async checkMaySend(): Promise<void> {
        if (this.executions === 0) {
            refuseBlockedPrompt(this.dependencies.quarantine, this.request);
        }
        const objection = await this.crashGuard.findObjection();
        if (objection !== undefined) {
            this.failRequest(objection);
        }
    }

    private async choosePath(): Promise<LayerPath> {
        const { request } = this;
        const chooseAvoiding = (avoided: ReadonlySet<string>) => this.choosePathAvoiding(avoided);
        // A server that refused the request for lack of capacity has capacity again when one of its requests ends.
        const includeAvoidedAt = monotonicNow() + refusedServerRetryMilliseconds;
        const until = this.response.started
            ? this.patienceEnd
            : shortWaitEnd(request.receivedAt, request.deadline - request.receivedAt);
        const findPath = () => {
            this.refuseLateInShutdown();
            const path = chooseAvoiding(this.faults.avoidedServers)
                ?? (monotonicNow() >= includeAvoidedAt ? chooseAvoiding(new Set()) : undefined);
            if (path === undefined) {
                this.refuseIfPausedBeyond(until);
            }
            return path;
        };
        const path = await pollUntilDefined(findPath, { until, callerGone: request.callerGone })
            ?? chooseAvoiding(new Set());
        if (path === undefined) {
            this.failRequest("no path of available backend servers covers all layers");
        }
        return path;
    }

    private choosePathAvoiding(avoided: ReadonlySet<string>): LayerPath | undefined {
        const { request, engine, cost } = this;
        return this.dependencies.paths.choose(
            request.service,
            engine,
            cost.size,
            avoided,
            request.route.resumable && this.executions + 1 < request.route.maximumAttempts,
        );
    }

    /** Monotonic time in milliseconds at which the caller abandons the stream if it receives no event before. */
    private get patienceEnd(): number {
        const { request, progress } = this;
        const waitingSince = progress.lastEventAt ?? request.receivedAt;
        return Math.min(request.deadline, waitingSince + callerPatienceMilliseconds(request.route));
    }

    /**
     * Ends a request that may not be sent to a backend server any more because this router is shutting down. A stream that
     * has begun is continued, since it can no longer be answered with an error.
     */
    private refuseLateInShutdown(): void {
        if (!this.response.started && !this.dependencies.shutdown.allowsStart(this.request.deadline)) {
            throw this.executions > 0
                ? new ExchangeFailedError("the router is shutting down")
                : new RouterDrainingError(0);
        }
    }

    /** Refuses a request that has not run if the pauses that servers have requested outlast its wait for a path. */
    private refuseIfPausedBeyond(limit: number): void {
        const { dependencies, request, engine } = this;
        const pauseMilliseconds = dependencies.paths.pauseMilliseconds(request.service, engine);
        if (this.executions === 0 && pauseMilliseconds > 0 && monotonicNow() + pauseMilliseconds > limit) {
            this.failRequest("the backend servers have requested a pause");
        }
    }

    private startRun(path: LayerPath): void {
        const { request, engine, dependencies, progress, runs, cost } = this;
        const { service } = request;
        const server = path.parts[0]!.server;
        const running = cost.beginRun(path);
        const observed = this.observed.beginAttempt(path.parts.map(part => part.server));
        const run = new StreamRun(dependencies, this.runningAttempts, {
            request,
            path,
            content: {
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
            headerNames: dependencies.dialect.headers,
            responseObserver: dependencies.responseObserver,
            limits: computeStallLimits(request.route, service, dependencies),
            progress,
            events: this.events,
            runs,
            crashGuard: this.crashGuard,
            eventsDelivered: () => cost.recordEvents(running),
            mayStartRival: current => this.mayStartRival(current),
            startRival: (current, rivalPath, avoided) => this.startRival(current, rivalPath, avoided),
            choosePath: avoided =>
                this.choosePathAvoiding(new Set([...this.faults.avoidedServers, ...avoided]))
                    ?? this.choosePathAvoiding(avoided),
            chooseReplacement: (current, lost) =>
                dependencies.paths.chooseReplacement(service, engine, cost.size, current, lost),
        }, monotonicNow());
        this.startedRuns++;
        runs.add(run, result => {
            running.end();
            observed.end(evidenceOfStream(result, run.endConditions!, dependencies.stallMilliseconds));
        });
    }

    /** Two runs compete at most; a rival that is lost gives way to another one. */
    private mayStartRival(run: StreamRun): boolean {
        const { request, dependencies } = this;
        return (this.runs.rivalOf(run)?.isLost ?? true)
            && request.route.resumable
            && this.executions < request.route.maximumAttempts
            && this.refusals <= maximumRefusals
            && !this.crashGuard.hasCrashedServers
            && dependencies.quarantine.findBlock(request.sharedPromptParts) === undefined
            && (this.response.started || dependencies.shutdown.allowsStart(request.deadline))
            && dependencies.retries.allows(request.service);
    }

    private startRival(run: StreamRun, path: LayerPath, avoided: ReadonlySet<string>): boolean {
        if (!this.mayStartRival(run) || !this.dependencies.retries.tryConsume(this.request.service)) {
            return false;
        }
        this.runs.endRivalOf(run, AttemptEnd.lost, "a backend server on the path is lost");
        this.faults.avoid(avoided);
        this.startRun(path);
        return true;
    }

    /**
     * Records the time to the first event. A run that ends before it counts with its duration, a lower bound of that time,
     * if another run has delivered the event.
     */
    private recordFirstEventTime(run: StreamRun, { end }: AttemptResult): void {
        const { progress, dependencies, request } = this;
        const { firstEventAt } = progress;
        if (firstEventAt !== undefined && firstEventAt > run.startedAt && end !== AttemptEnd.lost) {
            dependencies.firstEvents.record(request.service, firstEventAt - run.startedAt);
        }
    }

    private countRefusal({ end }: AttemptResult): void {
        if (end === AttemptEnd.notRun) {
            this.refusals++;
        }
    }

    /**
     * Runs that a backend server may have executed, including those that go on. Only a refusal and a request that was not
     * sent show that it has not: a server may run a request for some time before its head arrives.
     */
    private get executions(): number {
        return this.startedRuns - this.refusals;
    }

    /**
     * Returns true if the backend server's error response was forwarded to the caller, and false if another run has been
     * started. Throws otherwise.
     */
    private async finishOrRetry(result: AttemptResult): Promise<boolean> {
        const { request } = this;
        if (hasPassed(request.deadline)) {
            this.abortWith(new DeadlineExceededError(this.outcome(result)));
        }
        const exhausted = this.executions >= request.route.maximumAttempts
            || this.refusals > maximumRefusals
            || this.events.isOverrun;
        const retryable = this.executions === 0 || request.route.resumable;
        if (!exhausted && retryable && await this.reserveRetry(result)) {
            await this.startNextRun();
            return false;
        }
        if (result.end === AttemptEnd.failure && !this.response.started) {
            this.response.writeBuffered(result.head!, result.body!);
            return true;
        }
        return this.failRequest(result.reason);
    }

    /**
     * Consumes one retry of the budget; returns whether one was left. A stream that has begun can no longer be refused, so
     * its retry is awaited for as long as the caller has patience, and delayed after a refusal.
     */
    private async reserveRetry({ end }: AttemptResult): Promise<boolean> {
        const { service, callerGone } = this.request;
        const tryConsume = () => this.dependencies.retries.tryConsume(service) || undefined;
        if (!this.response.started) {
            return tryConsume() !== undefined;
        }
        if (end === AttemptEnd.notRun) {
            await delay(initialRefusalDelayMilliseconds * 2 ** (this.refusals - 1), callerGone);
        }
        return await pollUntilDefined(tryConsume, { until: this.patienceEnd, callerGone }) !== undefined;
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
        const { request, engine, dependencies, cost } = this;
        return dependencies.retryAdvice.retryAfterSeconds({
            expectedMilliseconds: dependencies.paths.expectedWaitMilliseconds(request.service, engine, cost.size),
            unavailableMilliseconds: dependencies.paths.pauseMilliseconds(request.service, engine),
            remainingMilliseconds: request.deadline - monotonicNow(),
        });
    }

    private abortWith(error: PomelostallError): never {
        if (this.response.started) {
            this.response.abortConnection();
        }
        throw error;
    }

    private log({ path, startedAt }: StreamRun, result: AttemptResult): void {
        const { request, progress, dependencies } = this;
        const { registry, metrics, logger } = dependencies;
        const atFault = this.faults.serverAtFault(result)?.id;
        const registryGeneration = registry.generation;
        const { size } = this.cost;
        logEndedRun({ request, size, path, result, startedAt, atFault, registryGeneration, progress }, metrics, logger);
    }
}
