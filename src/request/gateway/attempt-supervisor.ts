/**
 * Monitors the progress of one attempt of a stream. In a long pause between events it checks whether the
 * backend servers of the path accept connections. If some do not, it moves the attempt to a path without them, or ends
 * it so that the request is run again.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import { OrderOutcome, type ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { LayerPathChooser } from "./layer-path-chooser.js";
import {
    addressedParts,
    formatPath,
    type LayerPath,
    type LayerPathPart,
    type RequestSize,
} from "./layer-path-finder.js";
import { type PathRecoveryPolicy, RecoveryAction } from "./path-recovery-policy.js";
import { StallDetector, type StallLimits } from "./stall-detector.js";
import type { StreamAttempt } from "./stream-attempt.js";
import type { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface SupervisionDependencies {
    readonly paths: LayerPathChooser;
    readonly recoveryPolicy: PathRecoveryPolicy;
    readonly reachability: ReachabilityCheck;
    readonly control: ServerControl;
    readonly exclusions: ServerExclusions;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

export interface SupervisedAttempt {
    readonly request: GatewayRequest;
    readonly attempt: StreamAttempt;
    readonly path: LayerPath;
    readonly size: RequestSize;
    readonly progress: StreamProgress;
    readonly limits: StallLimits;
    /** Whether the route, the attempt limit and the retry budget allow another run of the request. */
    mayRerun(): boolean;
    /** Chooses the path for a new run without the servers in `avoided`. */
    choosePath(avoided: ReadonlySet<string>): LayerPath | undefined;
    /** Chooses a path that keeps all parts except those of the lost servers. */
    chooseReplacement(path: LayerPath, lost: ReadonlySet<string>): LayerPath | undefined;
}

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
        [...this.supervisors].forEach(supervisor => void supervisor.recheckParts(hasDroppedLayers));
    }

    /**
     * Makes each attempt recover from those of its servers that accepted no connection in a check; `checkStartedAt` is
     * the monotonic time in milliseconds at which the check started.
     */
    reportUnreachable(servers: readonly ServerEntry[], checkStartedAt: number): void {
        [...this.supervisors].forEach(supervisor => void supervisor.recoverFromUnreachable(servers, checkStartedAt));
    }
}

export class AttemptSupervisor {
    readonly stallDetector: StallDetector;
    private currentPath: LayerPath;
    private recovering = false;
    private stopped = false;

    constructor(
        private readonly dependencies: SupervisionDependencies,
        private readonly runningAttempts: RunningAttempts,
        private readonly supervised: SupervisedAttempt,
    ) {
        this.currentPath = supervised.path;
        this.stallDetector = new StallDetector(supervised.limits, {
            quiet: () => void this.checkServers(),
            stalled: () => this.abandonForRerun("no event within the stall timeout", []),
        });
        runningAttempts.add(this);
    }

    /** The current path of the attempt, which differs from the original path after a move. */
    get path(): LayerPath {
        return this.currentPath;
    }

    stop(): void {
        this.stopped = true;
        this.stallDetector.stop();
        this.runningAttempts.remove(this);
    }

    /**
     * Moves the attempt to a path without the unreachable servers, or ends it so that the request is run again. Does
     * nothing if none of them is on the path, or if an event has arrived since the check started, which proves that
     * they are alive.
     */
    async recoverFromUnreachable(servers: readonly ServerEntry[], checkStartedAt: number): Promise<void> {
        const lost = servers.filter(server => this.currentPath.parts.some(part => part.server.id === server.id));
        const hasProgressed = (this.supervised.progress.lastEventAt ?? -Infinity) > checkStartedAt;
        if (!hasProgressed) {
            await this.recover(lost, "does not accept connections");
        }
    }

    /** Recovers from servers that were ordered to hold other layers, or that the placement leader reports as lost. */
    async recheckParts(hasDroppedLayers: (part: LayerPathPart) => boolean): Promise<void> {
        const lost = this.currentPath.parts.filter(hasDroppedLayers).map(({ server }) => server);
        await this.recover(lost, "no longer computes its layers");
    }

    private async checkServers(): Promise<void> {
        const checkStartedAt = monotonicNow();
        const servers = this.currentPath.parts.map(({ server }) => server);
        const unreachable = await this.dependencies.reachability.findUnreachable(servers);
        if (unreachable.length === 0) {
            return;
        }
        unreachable.forEach(({ id }) => this.dependencies.exclusions.recordFailure(id, "does not accept connections"));
        this.runningAttempts.reportUnreachable(unreachable, checkStartedAt);
    }

    private async recover(lost: readonly ServerEntry[], reason: string): Promise<void> {
        if (lost.length === 0 || this.recovering || this.stopped) {
            return;
        }
        this.recovering = true;
        const outcome = await this.chooseAndApplyRecovery(lost, reason);
        this.recovering = false;
        if (outcome === RecoveryAction.rerun) {
            this.abandonForRerun(`a backend server on the path ${reason}`, lost);
        }
    }

    /**
     * Returns the resulting action: `move` if the move succeeded, `rerun` if the attempt has to be ended so that the
     * request is run again, or `wait`.
     */
    private async chooseAndApplyRecovery(lost: readonly ServerEntry[], reason: string): Promise<RecoveryAction> {
        const { supervised, dependencies, currentPath: path } = this;
        const lostIds = new Set(lost.map(({ id }) => id));
        // Before the first event there is no KV cache that would justify a move.
        const replacement = supervised.progress.lastEventId === undefined
            ? undefined
            : supervised.chooseReplacement(path, lostIds);
        const mayRerun = supervised.mayRerun();
        const newPath = mayRerun ? supervised.choosePath(lostIds) : undefined;
        const action = dependencies.recoveryPolicy.choose({ path, replacement, newPath });
        const outcome = action === RecoveryAction.move ? await this.move(path, replacement!) : action;
        const moved = outcome === OrderOutcome.begun || outcome === OrderOutcome.alreadyHeld;
        if (moved) {
            this.currentPath = replacement!;
        }
        dependencies.metrics.increment("pomelostall.gateway.lost_parts", 1, { replaced: String(moved) });
        this.log(
            action === RecoveryAction.move ? replacement : newPath,
            `${[...lostIds].join(",")} ${reason}`,
            action,
            outcome,
        );
        return moved ? RecoveryAction.move : mayRerun ? RecoveryAction.rerun : RecoveryAction.wait;
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

    private abandonForRerun(reason: string, lost: readonly ServerEntry[]): void {
        if (!this.stopped && this.supervised.mayRerun()) {
            this.supervised.attempt.abandon(reason, lost);
        }
    }

    private log(chosen: LayerPath | undefined, reason: string, action: RecoveryAction, outcome: string): void {
        const { request, progress } = this.supervised;
        this.dependencies.logger.decision({
            kind: "replace-lost-part",
            chosen: chosen === undefined ? "" : formatPath(chosen),
            over: [],
            reason,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: { repair: action, outcome, lastEventId: progress.lastEventId },
        });
    }
}
