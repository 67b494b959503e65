/**
 * Passes a stream from the engines to a caller. Where the route allows it, a run that breaks off is followed by another
 * on a path that avoids the servers at fault, and goes on after the last event that the caller has.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import type { EngineProfile, GatewayRoute } from "../../domain/gateway/configuration.js";
import type { Dialect, PathPart } from "../../domain/gateway/dialect.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import { formatSocketAddress, OrderOutcome, type ServerEntry } from "../../domain/gateway/server-entry.js";
import { formatLayerRange } from "../../domain/layers.js";
import { DeadlineExceededError, ExchangeFailedError, NoServerAvailableError, Outcome } from "../../errors/index.js";
import type { RetryAllowance } from "../../process/gateway/retry-allowance.js";
import type { ServerLoad } from "../../process/gateway/server-load.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { ServerSuspicions } from "../../process/gateway/server-suspicions.js";
import { waitFor } from "./bounded-wait.js";
import type { CallerResponse } from "./caller-response.js";
import { hasPassed } from "./deadline.js";
import type { GatewayHeaders } from "./headers.js";
import type { LayerPathChooser } from "./layer-path-chooser.js";
import type { LayerPath, RequestSize } from "./layer-path-finder.js";
import { type StallLimits, StallWatch } from "./stall-watch.js";
import { AttemptEnd, type AttemptResult, StreamAttempt } from "./stream-attempt.js";
import { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface StreamForwarderParts {
    readonly dialect: Dialect;
    readonly headers: GatewayHeaders;
    readonly paths: LayerPathChooser;
    readonly registry: ServerRegistry;
    readonly load: ServerLoad;
    readonly suspicions: ServerSuspicions;
    readonly retries: RetryAllowance;
    readonly reachability: ReachabilityCheck;
    readonly control: ServerControl;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** Servers that may refuse a request before its caller is told to come back. */
const maximumRefusals = 3;
/** For routes that state no longest pause; the users' sheets state 200 and 250 ms. */
const defaultEventGapMilliseconds = 200;
/** Leaves half of the longest pause for the check and for reading the prompt elsewhere. */
const quietShare = 0.45;
/** Callers abandon a stream after a gap of 2 s. */
const stalledMilliseconds = 1_000;
/** First events come within a fifth of the target on a calm day. */
const firstQuietShare = 0.3;
/** Callers wait four times the target for the first event. */
const firstStalledShare = 1.6;
/** Without a path, about the time in which lost layers are loaded again. */
const retryAfterSeconds = 2;

export class StreamForwarder {
    constructor(private readonly parts: StreamForwarderParts) {}

    /** Throws a PomelostallError if nothing was written to the caller. */
    async forward(request: GatewayRequest, engine: EngineProfile, response: CallerResponse): Promise<void> {
        await new StreamRun(this.parts, request, engine, response).run();
    }
}

class StreamRun {
    private readonly avoided = new Set<string>();
    private readonly progress: StreamProgress;
    private refusals = 0;
    /** Runs that may have begun. */
    private runs = 0;

    constructor(
        private readonly parts: StreamForwarderParts,
        private readonly request: GatewayRequest,
        private readonly engine: EngineProfile,
        private readonly response: CallerResponse,
    ) {
        this.progress = new StreamProgress(response);
    }

    async run(): Promise<void> {
        this.parts.retries.noteRequest(this.request.service);
        for (;;) {
            const path = await this.choosePath();
            const result = await this.attempt(path);
            this.log(path, result);
            if (this.request.callerGone.aborted) {
                return;
            }
            if (result.end === AttemptEnd.complete) {
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
        const choose = () => parts.paths.choose(request.service, engine, size, this.avoided);
        const path = choose()
            ?? parts.paths.choose(request.service, engine, size, new Set())
            ?? await waitFor(choose, request.deadline - monotonicNow(), request.callerGone);
        if (path === undefined) {
            this.giveUp("no path through all layers");
        }
        return path;
    }

    private async attempt(path: LayerPath): Promise<AttemptResult> {
        const { request, parts, progress } = this;
        const server = path.parts[0]!.server;
        const size = requestSize(request, this.engine);
        const endLoad = parts.load.begin(path.parts.map(part => part.server.id), size.promptTokens + size.answerTokens);
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
        const watch = this.watchProgress(path, attempt);
        progress.attach(attempt, watch);
        const timer = setTimeout(() => attempt.cancel("deadline"), Math.max(0, request.deadline - monotonicNow()));
        const callerGone = () => attempt.cancel("caller gone");
        request.callerGone.addEventListener("abort", callerGone);
        try {
            return await attempt.result;
        }
        finally {
            clearTimeout(timer);
            watch.stop();
            request.callerGone.removeEventListener("abort", callerGone);
            endLoad();
        }
    }

    /** Checks the path's servers in a long pause, and gives the attempt up if one is gone or the pause gets too long. */
    private watchProgress(path: LayerPath, attempt: StreamAttempt): StallWatch {
        const { route } = this.request;
        const mayRepeat = () => route.resumable && this.runs + 1 < route.maximumAttempts;
        return new StallWatch(stallLimits(route), {
            quiet: () => {
                const servers = path.parts.map(({ server }) => server);
                const eventBefore = this.progress.lastEventId;
                void this.parts.reachability.findUnreachable(servers).then(unreachable => {
                    unreachable.forEach(({ id }) => this.parts.suspicions.noteFailure(id, "takes no connection"));
                    if (unreachable.length > 0 && this.progress.lastEventId === eventBefore) {
                        void this.replaceLost(path, attempt, unreachable, mayRepeat);
                    }
                });
            },
            stalled: () => {
                if (mayRepeat()) {
                    attempt.giveUp("no progress", []);
                }
            },
        });
    }

    /** Moves the running request around the lost servers; where that can't be done, it is sent anew. */
    private async replaceLost(
        path: LayerPath,
        attempt: StreamAttempt,
        lost: readonly ServerEntry[],
        mayRepeat: () => boolean,
    ): Promise<void> {
        const { request, engine, parts } = this;
        const lostIds = new Set(lost.map(({ id }) => id));
        const size = requestSize(request, engine);
        const replacement = this.progress.lastEventId === undefined
            ? undefined
            : parts.paths.chooseReplacement(request.service, engine, size, path, lostIds);
        const outcome = replacement === undefined ? "no replacement" : await this.changePath(path, replacement);
        parts.metrics.increment("pomelostall.gateway.lost_parts", 1, { replaced: String(isTaken(outcome)) });
        parts.logger.decision({
            kind: "replace-lost-part",
            chosen: replacement === undefined ? "" : formatPath(replacement),
            over: [],
            reason: `no connection to ${[...lostIds].join(",")}`,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: { outcome, lastEventId: this.progress.lastEventId },
        });
        if (!isTaken(outcome) && mayRepeat()) {
            attempt.giveUp("a server of the path takes no connection", lost);
        }
    }

    private async changePath(path: LayerPath, replacement: LayerPath): Promise<string> {
        try {
            const server = path.parts[0]!.server;
            return await this.parts.control.changePath(server, this.request.id, addressedParts(replacement));
        }
        catch (error) {
            return String(error);
        }
    }

    /** Keeps the servers at fault out of the next path. */
    private blame(path: LayerPath, result: AttemptResult): void {
        const atFault = this.serverAtFault(result);
        const first = path.parts[0]!.server.id;
        if (result.end === AttemptEnd.notRun) {
            this.avoided.add(atFault ?? first);
            this.parts.suspicions.noteFailure(atFault ?? first, result.reason);
        }
        else if (result.unreachable !== undefined && result.unreachable.length > 0) {
            result.unreachable.forEach(({ id }) => this.avoided.add(id));
        }
        else if (result.end === AttemptEnd.broken || result.end === AttemptEnd.stalled) {
            path.parts.forEach(part => this.avoided.add(part.server.id));
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
        if (exhausted || !repeatable || !parts.retries.take(request.service)) {
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

/** Pauses that matter on a route: well inside its longest pause on time, and inside its callers' patience of 2 s. */
function stallLimits(route: GatewayRoute): StallLimits {
    const gap = route.eventGapMilliseconds ?? defaultEventGapMilliseconds;
    return {
        quietMilliseconds: gap * quietShare,
        stalledMilliseconds,
        firstQuietMilliseconds: route.targetLatencyMilliseconds * firstQuietShare,
        firstStalledMilliseconds: route.targetLatencyMilliseconds * firstStalledShare,
    };
}

function addressedParts(path: LayerPath): PathPart[] {
    return path.parts.map(({ server, layers }) => ({ address: server.address, layers }));
}

function isTaken(outcome: string): boolean {
    return outcome === OrderOutcome.begun || outcome === OrderOutcome.alreadyHeld;
}

function formatPath(path: LayerPath): string {
    return path.parts.map(({ server, layers }) => `${server.id}=${formatLayerRange(layers)}`).join(",");
}

function headerText(result: AttemptResult, name: string): string | undefined {
    const value = result.head?.headers[name];
    return typeof value === "string" ? value : undefined;
}

function requestSize(request: GatewayRequest, engine: EngineProfile): RequestSize {
    const answerTokens = Math.min(engine.usualAnswerTokens, request.tokens?.maximumAnswer ?? Infinity);
    return { promptTokens: request.tokens?.prompt ?? engine.usualPromptTokens, answerTokens };
}
