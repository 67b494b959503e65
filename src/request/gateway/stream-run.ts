/**
 * Passes a stream from the engines to a caller. Where the route allows it, a run that breaks off is followed by another
 * on a path that avoids the servers at fault, and goes on after the last event that the caller has.
 */
import { monotonicNow } from "../../common/clock.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { Dialect } from "../../domain/gateway/dialect.js";
import { formatSocketAddress } from "../../domain/gateway/server-entry.js";
import { DeadlineExceededError, ExchangeFailedError, NoServerAvailableError, Outcome } from "../../errors/index.js";
import type { FirstEventLatency } from "../../process/gateway/first-event-times.js";
import type { WindowedRetryBudget } from "../../process/gateway/retry-allowance.js";
import type { LocalServerLoad } from "../../process/gateway/server-load.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import { AttemptSupervisor, type RunningAttempts, type SupervisionParts } from "./attempt-supervisor.js";
import { waitFor } from "./bounded-wait.js";
import type { CallerResponse } from "./caller-response.js";
import { hasPassed } from "./deadline.js";
import type { GatewayHeaders } from "./headers.js";
import { addressedParts, formatPath, type LayerPath, type RequestSize } from "./layer-path-finder.js";
import { stallLimits } from "./stall-limits.js";
import { AttemptEnd, type AttemptResult, StreamAttempt } from "./stream-attempt.js";
import { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface StreamRunParts extends SupervisionParts {
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly registry: ServerRegistry;
    readonly load: LocalServerLoad;
    readonly retries: WindowedRetryBudget;
    readonly firstEvents: FirstEventLatency;
}

/** Servers that may refuse a request before its caller is told to come back. */
const maximumRefusals = 5;
/** Pause before a request goes back to a server that refused it: some requests of a busy engine end in this time. */
const refusalPauseMilliseconds = 100;
const serviceUnavailable = 503;
/** Without a path, about the time in which lost layers are loaded again. */
const retryAfterSeconds = 2;

export class StreamRun {
    private readonly avoided = new Set<string>();
    private readonly progress: StreamProgress;
    private refusals = 0;
    /** Runs that may have begun. */
    private runs = 0;

    constructor(
        private readonly parts: StreamRunParts,
        private readonly running: RunningAttempts,
        private readonly request: GatewayRequest,
        private readonly engine: EngineProfile,
        private readonly response: CallerResponse,
    ) {
        this.progress = new StreamProgress(response);
    }

    async run(): Promise<void> {
        this.parts.retries.recordRequest(this.request.service);
        for (;;) {
            const { result, path } = await this.attempt(await this.choosePath());
            this.log(path, result);
            if (this.request.callerGone.aborted) {
                return;
            }
            if (result.end === AttemptEnd.complete) {
                path.parts.forEach(({ server }) => this.parts.suspicions.recordSuccess(server.id));
                this.progress.end();
                return;
            }
            this.blame(path, result);
            if (this.isOver(result)) {
                return;
            }
        }
    }

    private async choosePath(): Promise<LayerPath> {
        const { request, engine, parts } = this;
        const size = requestSize(request, engine);
        const choose = (avoided: ReadonlySet<string>) => parts.paths.choose(request.service, engine, size, avoided);
        // A server that refused for want of room has some again when the next request ends.
        const widenAt = monotonicNow() + refusalPauseMilliseconds;
        const look = () => choose(this.avoided) ?? (monotonicNow() >= widenAt ? choose(new Set()) : undefined);
        const path = await waitFor(look, {
            since: this.progress.lastEventAt ?? request.receivedAt,
            patienceMilliseconds: request.deadline - request.receivedAt,
            callerGone: request.callerGone,
        }) ?? choose(new Set());
        if (path === undefined) {
            this.giveUp("no path through all layers");
        }
        return path;
    }

    /** How the attempt ended, and the path on which it ran in the end. */
    private async attempt(path: LayerPath): Promise<{ result: AttemptResult; path: LayerPath; }> {
        const { request, parts, progress } = this;
        const server = path.parts[0]!.server;
        const size = requestSize(request, this.engine);
        const endLoad = parts.load.beginRequest(
            path.parts.map(part => part.server.id),
            size.promptTokens + size.outputTokens,
        );
        const attempt = new StreamAttempt(
            server,
            {
                method: request.method,
                path: request.target,
                body: request.body,
                headers: parts.headers.forAttempt(request, {
                    server,
                    layerPath: parts.dialect.formatLayerPath(addressedParts(path)),
                    lastEventId: progress.lastEventId,
                }),
            },
            request.id,
            parts.dialect.headers,
            progress,
        );
        const sentAt = monotonicNow();
        const supervisor = this.supervise(path, attempt, size);
        progress.attach(attempt, supervisor.watch);
        const timer = setTimeout(() => attempt.cancel("deadline"), Math.max(0, request.deadline - sentAt));
        const callerGone = () => attempt.cancel("caller gone");
        request.callerGone.addEventListener("abort", callerGone);
        try {
            const result = await attempt.result;
            this.noteFirstEvent(sentAt, result);
            return { result, path: supervisor.path };
        }
        finally {
            clearTimeout(timer);
            supervisor.stop();
            request.callerGone.removeEventListener("abort", callerGone);
            endLoad();
        }
    }

    /** An attempt that was given up before its first event says that first events take at least as long. */
    private noteFirstEvent(sentAt: number, result: AttemptResult): void {
        const { progress, parts, request } = this;
        const waited = result.end === AttemptEnd.stalled && result.unreachable?.length === 0;
        const at = progress.begunAt ?? (waited ? monotonicNow() : undefined);
        if (at !== undefined && at > sentAt) {
            parts.firstEvents.record(request.service, at - sentAt);
        }
    }

    private supervise(path: LayerPath, attempt: StreamAttempt, size: RequestSize): AttemptSupervisor {
        const { request, engine, parts, progress } = this;
        const { route, service } = request;
        return new AttemptSupervisor(parts, this.running, {
            request,
            attempt,
            path,
            size,
            progress,
            limits: stallLimits(route, parts.firstEvents.upperBound(service)),
            mayRepeat: () => route.resumable && this.runs + 1 < route.maximumAttempts && parts.retries.allows(service),
            choosePath: avoided => parts.paths.choose(service, engine, size, new Set([...this.avoided, ...avoided])),
            chooseReplacement: (current, lost) => parts.paths.chooseReplacement(service, engine, size, current, lost),
        });
    }

    /** Keeps the servers at fault out of the next path. */
    private blame(path: LayerPath, result: AttemptResult): void {
        const atFault = this.serverAtFault(result);
        const first = path.parts[0]!.server.id;
        if (result.end === AttemptEnd.notRun) {
            this.avoided.add(atFault ?? first);
            this.noteRefusal(atFault ?? first, result);
        }
        else if (result.unreachable !== undefined && result.unreachable.length > 0) {
            result.unreachable.forEach(({ id }) => this.avoided.add(id));
        }
        else if (result.end === AttemptEnd.broken || result.end === AttemptEnd.stalled) {
            path.parts.forEach(part => this.avoided.add(part.server.id));
        }
    }

    private noteRefusal(serverId: string, { head, reason }: AttemptResult): void {
        const { suspicions } = this.parts;
        if (head?.status === serviceUnavailable) {
            suspicions.recordRefusal(serverId, reason);
        }
        else {
            suspicions.recordFailure(serverId, reason);
        }
    }

    /** The server that a refusal names. */
    private serverAtFault(result: AttemptResult): string | undefined {
        const { dialect, registry } = this.parts;
        const address = dialect.parseAddress(headerText(result, dialect.headers.serverAtFault));
        return address === undefined ? undefined : registry.findByAddress(formatSocketAddress(address))?.entry.id;
    }

    /** Whether a backend server's failure was delivered as the answer. Throws if there is none and no further attempt. */
    private isOver(result: AttemptResult): boolean {
        const { request, parts } = this;
        if (hasPassed(request.deadline)) {
            this.fail(
                new DeadlineExceededError(
                    this.runs > 0 || result.end !== AttemptEnd.notRun ? Outcome.unknown : Outcome.notRun,
                ),
            );
        }
        if (result.end === AttemptEnd.notRun) {
            this.refusals++;
        }
        else {
            this.runs++;
        }
        const exhausted = this.runs >= request.route.maximumAttempts || this.refusals > maximumRefusals;
        const repeatable = this.runs === 0 || request.route.resumable;
        if (exhausted || !repeatable || !parts.retries.tryConsume(request.service)) {
            if (result.end === AttemptEnd.failure && !this.response.begun) {
                this.response.writeWhole(result.head!, result.body!);
                return true;
            }
            this.giveUp(result.reason);
        }
        return false;
    }

    private giveUp(reason: string): never {
        const error = this.runs > 0
            ? new ExchangeFailedError(reason)
            : new NoServerAvailableError(this.request.service, reason, retryAfterSeconds);
        return this.fail(error);
    }

    private fail(error: DeadlineExceededError | ExchangeFailedError | NoServerAvailableError): never {
        if (this.response.begun) {
            this.response.breakOff();
        }
        throw error;
    }

    private log(path: LayerPath, result: AttemptResult): void {
        this.parts.metrics.increment("pomelostall.gateway.stream_attempts", 1, { outcome: result.end });
        this.parts.logger.decision({
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
                registryGeneration: this.parts.registry.generation,
                lastEventId: this.progress.lastEventId,
                firstEventMilliseconds: this.progress.begunAt === undefined
                    ? undefined
                    : Math.round(this.progress.begunAt - this.request.receivedAt),
                longestPauseMilliseconds: Math.round(this.progress.longestPauseMilliseconds),
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
    const answerTokens = Math.min(engine.usualAnswerTokens, request.tokens?.maximumAnswer ?? Infinity);
    return { promptTokens: request.tokens?.prompt ?? engine.usualPromptTokens, outputTokens: answerTokens };
}
