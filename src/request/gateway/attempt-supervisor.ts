/**
 * Monitors the progress of one attempt of a stream. In a long pause between events it checks whether the backend servers
 * of the path accept connections. If some do not, it moves the attempt to a path without them or starts a new run beside
 * it, as it does after a stall. The attempt itself goes on meanwhile: its server may only be silent for a moment, and the
 * new run may be refused.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import { OrderOutcome, type ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { SlowdownSurvey } from "../../process/gateway/slowdown-survey.js";
import type { LayerPathChooser } from "./layer-path-chooser.js";
import { addressedParts, formatPath, type LayerPath, type LayerPathPart } from "./layer-path-finder.js";
import { type PathRecoveryPolicy, RecoveryAction } from "./path-recovery-policy.js";
import { StallDetector, type StallLimits } from "./stall-detector.js";
import type { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface SupervisionDependencies {
    readonly paths: LayerPathChooser;
    readonly recoveryPolicy: PathRecoveryPolicy;
    readonly reachability: ReachabilityCheck;
    readonly control: ServerControl;
    readonly exclusions: ServerExclusions;
    readonly slowdownSurvey: Pick<SlowdownSurvey, "askFor">;
    readonly failures: FailureReporter;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface SupervisedAttempt {
    readonly request: GatewayRequest;
    readonly path: LayerPath;
    readonly progress: StreamProgress;
    readonly limits: StallLimits;
    /** Whether another run of the request competes with this one. */
    hasRival(): boolean;
    /** Whether the route, the attempt limit and the retry budget allow another run beside this one. */
    mayStartRival(): boolean;
    /**
     * Starts another run beside this one, if that is still allowed; later runs avoid the given servers. Returns whether it
     * has.
     */
    startRival(path: LayerPath, avoided: ReadonlySet<string>): boolean;
    /** Chooses the path for a new run without the servers in `avoided`. */
    choosePath(avoided: ReadonlySet<string>): LayerPath | undefined;
    /** Chooses a path that keeps all parts except those of the lost servers. */
    chooseReplacement(path: LayerPath, lost: ReadonlySet<string>): LayerPath | undefined;
    /** Called with servers of the path that accept no connections, unless the attempt has made progress since. */
    serversLost(servers: readonly ServerEntry[]): void;
    /** Ends the attempt after an unexpected failure. */
    fail(): void;
}

/** Delay before a new run is tried again while the attempt remains suspected; doubles up to the maximum. */
const initialRetryMilliseconds = 50;
const maximumRetryMilliseconds = 400;

/** All running attempts, so that a server failure that one attempt detects is handled for all of them. */
export class RunningAttempts {
    private readonly supervisors = new Set<AttemptSupervisor>();

    add(supervisor: AttemptSupervisor): void {
        this.supervisors.add(supervisor);
    }

    remove(supervisor: AttemptSupervisor): void {
        this.supervisors.delete(supervisor);
    }

    /** Makes each attempt check whether a server of its path no longer computes the layers of its part. */
    recheckParts(hasDroppedLayers: (part: LayerPathPart) => boolean): void {
        [...this.supervisors].forEach(supervisor => supervisor.recheckParts(hasDroppedLayers));
    }

    /**
     * Makes each attempt recover from those of its servers that accepted no connection in a check; `checkStartedAt` is
     * the monotonic time in milliseconds at which the check started.
     */
    reportUnreachable(servers: readonly ServerEntry[], checkStartedAt: number): void {
        [...this.supervisors].forEach(supervisor => supervisor.recoverFromUnreachable(servers, checkStartedAt));
    }
}

export class AttemptSupervisor {
    private readonly boundary: FailureBoundary;
    private readonly stallDetector: StallDetector;
    private currentPath: LayerPath;
    /** Servers that are lost; empty once the attempt has been moved off them or has made progress. */
    private lost: readonly ServerEntry[] = [];
    /** Servers that are reported not to compute their layers any longer; some still finish the requests that they run. */
    private reported: readonly ServerEntry[] = [];
    private quiet = false;
    /** Whether the present pause has reached the stall timeout. */
    private stalled = false;
    /** Reported servers that the attempt could not be moved off, in which case it is not ordered again with each notice. */
    private immovable: readonly ServerEntry[] = [];
    private retryTimer: ReturnType<typeof setTimeout> | undefined;
    /** Runs from a quiet pause on until it ends. */
    private lateTimer: ReturnType<typeof setTimeout> | undefined;
    private recovering = false;
    private stopped = false;
    /** Of this attempt, while the request's progress includes that of its rival. */
    private progressedAt = -Infinity;

    constructor(
        private readonly dependencies: SupervisionDependencies,
        private readonly runningAttempts: RunningAttempts,
        private readonly supervised: SupervisedAttempt,
    ) {
        this.currentPath = supervised.path;
        this.boundary = dependencies.failures.createBoundary("stream supervision", () => supervised.fail(), {
            requestId: supervised.request.id,
        });
        this.stallDetector = new StallDetector(supervised.limits, {
            quiet: () => this.handleQuiet(),
            stalled: () => this.handleStall(),
        }, this.boundary);
        runningAttempts.add(this);
    }

    /** The current path of the attempt, which differs from the original path after a move. */
    get path(): LayerPath {
        return this.currentPath;
    }

    /** Monotonic time of the attempt's last progress in milliseconds; -Infinity before the first. */
    get lastProgressAt(): number {
        return this.progressedAt;
    }

    get isLost(): boolean {
        return this.lost.length > 0;
    }

    /** Whether a server of the path is lost, or is reported not to compute its layers any longer. */
    get isSuspected(): boolean {
        return this.isLost || this.reported.length > 0;
    }

    /** Ends any suspicion, after an event has arrived or the caller reads again. */
    recordProgress(): void {
        this.progressedAt = monotonicNow();
        if (!this.stopped) {
            this.clearSuspicion();
            this.stallDetector.recordProgress();
        }
    }

    /** Suspends stall detection until the next recorded progress, because the caller does not read. */
    suspend(): void {
        this.stallDetector.suspend();
    }

    stop(): void {
        this.stopped = true;
        this.clearSuspicion();
        this.stallDetector.stop();
        this.runningAttempts.remove(this);
    }

    /**
     * Moves the attempt to a path without the unreachable servers, or starts a new run beside it. Does nothing if none of
     * them is on the path, or if an event has arrived since the check started, which proves that they are alive.
     */
    recoverFromUnreachable(servers: readonly ServerEntry[], checkStartedAt: number): void {
        const lost = servers.filter(server => this.currentPath.parts.some(part => part.server.id === server.id));
        if (lost.length > 0 && this.progressedAt <= checkStartedAt) {
            this.supervised.serversLost(lost);
        }
        if (!this.hasProgressedSince(checkStartedAt)) {
            this.boundary.run(() => this.recover(lost, "does not accept connections", true));
        }
    }

    /**
     * Moves the attempt off servers that were ordered to hold other layers, or that the placement leader reports as lost.
     * Starts a new run only in a pause.
     */
    recheckParts(hasDroppedLayers: (part: LayerPathPart) => boolean): void {
        this.reported = this.currentPath.parts.filter(hasDroppedLayers).map(({ server }) => server);
        this.boundary.run(() => this.recoverFromReported());
    }

    private async recoverFromReported(): Promise<void> {
        if (this.quiet || !haveSameIds(this.reported, this.immovable)) {
            await this.recover(this.reported, "no longer computes its layers", this.quiet);
        }
    }

    private hasProgressedSince(time: number): boolean {
        return (this.supervised.progress.lastEventAt ?? -Infinity) > time;
    }

    private handleQuiet(): void {
        this.quiet = true;
        this.boundary.run(() => this.recoverFromReported());
        this.boundary.run(() => this.checkServers());
        this.lateTimer = setTimeout(
            this.boundary.wrap(() => this.askForSpeed()),
            this.supervised.limits.lateAfterQuietMilliseconds,
        );
    }

    /** Only for a stream that is late: most quiet pauses end in time, and each question costs the engine a connection. */
    private askForSpeed(): void {
        if (!this.isLost) {
            this.dependencies.slowdownSurvey.askFor(this.currentPath.parts.map(({ server }) => server));
        }
    }

    private async checkServers(): Promise<void> {
        const checkStartedAt = monotonicNow();
        const servers = this.currentPath.parts.map(({ server }) => server);
        const unreachable = await this.dependencies.reachability.findUnreachable(servers);
        if (this.stopped && this.progressedAt <= checkStartedAt) {
            // A rival has ended the attempt meanwhile; what it ran on is lost all the same.
            this.supervised.serversLost(unreachable);
        }
        if (unreachable.length === 0 || this.hasProgressedSince(checkStartedAt)) {
            return;
        }
        unreachable.forEach(server =>
            this.dependencies.exclusions.recordFailure(server, "does not accept connections")
        );
        this.runningAttempts.reportUnreachable(unreachable, checkStartedAt);
    }

    private handleStall(): void {
        this.stalled = true;
        // The check at the start of the pause may have come before the loss.
        this.boundary.run(() => this.checkServers());
        if (!this.isLost) {
            this.startRival(this.chooseRivalPath());
        }
    }

    private async recover(lost: readonly ServerEntry[], reason: string, startsRival: boolean): Promise<void> {
        if (lost.length === 0 || this.recovering || this.stopped) {
            return;
        }
        if (startsRival) {
            this.lost = lost;
        }
        if (!this.supervised.hasRival()) {
            this.recovering = true;
            await this.moveOrStartRival(lost, reason);
            this.recovering = false;
        }
        else if (startsRival) {
            this.startRival(this.chooseRivalPath());
        }
    }

    private async moveOrStartRival(lost: readonly ServerEntry[], reason: string): Promise<void> {
        const { supervised, dependencies, currentPath: path } = this;
        const lostIds = new Set(lost.map(({ id }) => id));
        // Before the first event there is no KV cache that would justify a move.
        const replacement = supervised.progress.lastEventId === undefined
            ? undefined
            : supervised.chooseReplacement(path, lostIds);
        const rivalAllowed = supervised.mayStartRival();
        const newPath = this.chooseRivalPath(lostIds);
        const action = dependencies.recoveryPolicy.choose({ path, replacement, newPath });
        // Starts in the same turn in which the budget allows it, before other attempts look at the budget.
        if (action !== RecoveryAction.move) {
            this.startRivalIfLost(newPath);
        }
        const outcome = action === RecoveryAction.move ? await this.move(path, replacement!) : action;
        const moved = outcome === OrderOutcome.begun || outcome === OrderOutcome.alreadyHeld;
        if (moved) {
            this.completeMove(replacement!);
        }
        else if (action === RecoveryAction.move) {
            this.immovable = lost;
            this.startRivalIfLost(this.chooseRivalPath());
        }
        dependencies.metrics.increment("pomelostall.gateway.lost_parts", 1, { replaced: String(moved) });
        this.log(
            action === RecoveryAction.move ? replacement : newPath,
            `${[...lostIds].join(",")} ${reason}`,
            action,
            outcome,
            rivalAllowed,
        );
    }

    private completeMove(path: LayerPath): void {
        this.currentPath = path;
        this.lost = [];
        this.reported = [];
        clearTimeout(this.retryTimer);
        if (this.stalled) {
            // The stall is reported once in a pause, and was not acted on while the attempt was being moved.
            this.handleStall();
        }
    }

    /** Orders the path change. Returns the outcome of the order, or the text of the error if it got no response. */
    private async move(path: LayerPath, replacement: LayerPath): Promise<string> {
        try {
            const { id } = this.supervised.request;
            return await this.dependencies.control.changePath(path.parts[0]!.server, id, addressedParts(replacement));
        }
        catch (error) {
            return String(error);
        }
    }

    /** By default, avoids the lost servers or, after a stall, all servers of this path. */
    private chooseRivalPath(avoided: ReadonlySet<string> = this.suspectedServers): LayerPath | undefined {
        return this.supervised.mayStartRival() ? this.supervised.choosePath(avoided) : undefined;
    }

    private get suspectedServers(): ReadonlySet<string> {
        const suspected = this.isLost ? this.lost : this.currentPath.parts.map(({ server }) => server);
        return new Set(suspected.map(({ id }) => id));
    }

    private startRivalIfLost(path: LayerPath | undefined): void {
        if (this.isLost) {
            this.startRival(path);
        }
    }

    /** Starts a new run on the path, and tries again after a growing delay for as long as the suspicion remains. */
    private startRival(path: LayerPath | undefined, retryMilliseconds = initialRetryMilliseconds): void {
        if (this.stopped || !this.supervised.request.route.resumable) {
            return;
        }
        if (path !== undefined) {
            this.supervised.startRival(path, this.suspectedServers);
        }
        clearTimeout(this.retryTimer);
        this.retryTimer = setTimeout(
            this.boundary.wrap(() => this.retryRival(retryMilliseconds)),
            retryMilliseconds,
        );
    }

    private retryRival(lastDelayMilliseconds: number): void {
        this.startRival(this.chooseRivalPath(), Math.min(maximumRetryMilliseconds, 2 * lastDelayMilliseconds));
    }

    private clearSuspicion(): void {
        this.quiet = false;
        this.stalled = false;
        this.lost = [];
        clearTimeout(this.retryTimer);
        clearTimeout(this.lateTimer);
    }

    private log(
        chosen: LayerPath | undefined,
        reason: string,
        action: RecoveryAction,
        outcome: string,
        rivalAllowed: boolean,
    ): void {
        const { request, progress } = this.supervised;
        this.dependencies.logger.decision({
            kind: "replace-lost-part",
            chosen: chosen === undefined ? "" : formatPath(chosen),
            over: [],
            reason,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: {
                repair: action,
                outcome,
                rivalAllowed,
                lastEventId: progress.lastEventId,
                pauseMilliseconds: progress.lastEventAt === undefined
                    ? undefined
                    : Math.round(monotonicNow() - progress.lastEventAt),
            },
        });
    }
}

function haveSameIds(left: readonly ServerEntry[], right: readonly ServerEntry[]): boolean {
    return left.length === right.length && left.every(({ id }) => right.some(other => other.id === id));
}
