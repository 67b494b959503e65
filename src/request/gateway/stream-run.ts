/**
 * One run of a stream on one path: the attempt, the supervision of its progress, and its part of the servers' load. Nothing of
 * its response reaches the caller before its first event, since another run may compete with it and only one of the two
 * heads can be forwarded.
 */
import { monotonicNow } from "../../common/clock.js";
import type { ExchangeRequest, ResponseHead } from "../../connection/gateway/exchange.js";
import type { HeaderNames } from "../../domain/gateway/dialect.js";
import type { ResponseObserver } from "../../domain/gateway/response-observer.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { RunConditions } from "./attempt-evidence.js";
import { AttemptSupervisor, type RunningAttempts, type SupervisionDependencies } from "./attempt-supervisor.js";
import type { CompetingRun, CompetingRuns } from "./competing-runs.js";
import type { CrashGuard } from "./crash-guard.js";
import type { EventBatch, EventSequence } from "./event-sequence.js";
import type { LayerPath } from "./layer-path-finder.js";
import { isPathIntact } from "./path-integrity.js";
import type { StallLimits } from "./stall-detector.js";
import { AttemptEnd, type AttemptObserver, type AttemptResult, StreamAttempt } from "./stream-attempt.js";
import type { EventSource, StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface StreamRunOptions {
    readonly request: GatewayRequest;
    readonly path: LayerPath;
    readonly content: ExchangeRequest;
    readonly headerNames: HeaderNames;
    readonly responseObserver: ResponseObserver;
    readonly limits: StallLimits;
    readonly progress: StreamProgress;
    readonly events: EventSequence;
    readonly runs: CompetingRuns<StreamRun>;
    readonly crashGuard: CrashGuard;
    /** Called each time that the run has delivered events. */
    eventsDelivered(): void;
    /** Whether the route, the attempt limit and the retry budget allow another run beside this one. */
    mayStartRival(run: StreamRun): boolean;
    /** Starts another run on the path if that is still allowed; returns whether it has. */
    startRival(run: StreamRun, path: LayerPath, avoided: ReadonlySet<string>): boolean;
    /** Chooses the path for a new run without the servers in `avoided`. */
    choosePath(avoided: ReadonlySet<string>): LayerPath | undefined;
    /** Chooses a path that keeps all parts except those of the lost servers. */
    chooseReplacement(path: LayerPath, lost: ReadonlySet<string>): LayerPath | undefined;
}

export class StreamRun implements CompetingRun, AttemptObserver, EventSource {
    readonly result: Promise<AttemptResult>;
    private readonly attempt: StreamAttempt;
    private readonly supervisor: AttemptSupervisor;
    private readonly control: ServerControl;
    private head: ResponseHead | undefined;
    private endedWith: RunConditions | undefined;

    constructor(
        dependencies: SupervisionDependencies,
        runningAttempts: RunningAttempts,
        private readonly options: StreamRunOptions,
        /** Monotonic time in milliseconds. */
        readonly startedAt: number,
    ) {
        const { request, path, progress } = options;
        this.attempt = new StreamAttempt(
            path.parts[0]!.server,
            options.content,
            { requestId: request.id, headerNames: options.headerNames, events: options.events },
            this,
            {
                deadline: request.deadline,
                callerGone: request.callerGone,
                responseObserver: options.responseObserver,
                failures: dependencies.failures,
            },
            request.memory,
        );
        this.control = dependencies.control;
        this.supervisor = new AttemptSupervisor(dependencies, runningAttempts, {
            request,
            path,
            progress,
            limits: options.limits,
            hasRival: () => options.runs.rivalOf(this) !== undefined,
            mayStartRival: () => options.mayStartRival(this),
            startRival: (rivalPath, avoided) => options.startRival(this, rivalPath, avoided),
            choosePath: avoided => options.choosePath(avoided),
            serversLost: servers => this.recordLosses(servers),
            fail: () => this.end(AttemptEnd.broken, "unexpected failure of the supervision"),
            chooseReplacement: (current, lost) => options.chooseReplacement(current, lost),
        });
        this.result = this.attempt.result.then(result => {
            this.endedWith = {
                hasLostServer: this.supervisor.isLost,
                hasMoved: this.supervisor.path !== path,
                silentMilliseconds: monotonicNow() - Math.max(startedAt, this.supervisor.lastProgressAt),
            };
            this.supervisor.stop();
            return result;
        });
    }

    /** Conditions as the run ended; undefined before. */
    get endConditions(): RunConditions | undefined {
        return this.endedWith;
    }

    /** The current path, which differs from the original path after a move. */
    get path(): LayerPath {
        return this.supervisor.path;
    }

    /** Whether a server of the path is lost, and the run has neither been moved off it nor made progress since. */
    get isLost(): boolean {
        return this.supervisor.isLost;
    }

    end(end: AttemptEnd, reason: string): void {
        this.attempt.end(end, reason);
    }

    streamStarted(head: ResponseHead): void {
        this.head = head;
    }

    deliver(events: EventBatch): void {
        this.win();
        this.supervisor.recordProgress();
        this.options.progress.deliver(events, this);
        this.options.eventsDelivered();
    }

    survived(): void {
        this.options.crashGuard.recordSurvival();
    }

    async isEndOfStream(): Promise<boolean> {
        return !this.supervisor.isSuspected && await isPathIntact(this.path, this.control);
    }

    streamEnded(rest: Buffer): void {
        this.win();
        this.options.progress.writeRest(rest);
    }

    pause(): void {
        this.attempt.pause();
        this.supervisor.suspend();
    }

    resume(): void {
        this.supervisor.recordProgress();
        this.attempt.resume();
    }

    /**
     * A prompt that crashes a later server of its path does so before the first event. Attempts that are past it are many
     * on a path of many servers, and would only add evidence against sound prompts.
     */
    private recordLosses(servers: readonly ServerEntry[]): void {
        if (!this.attempt.hasDelivered) {
            servers.forEach(server => this.options.crashGuard.recordLoss(server, false));
        }
    }

    private win(): void {
        this.options.runs.endRivalOf(this, AttemptEnd.superseded, "another run has delivered the next event");
        this.options.progress.beginStream(this.head!);
    }
}
