/**
 * Watches the progress of one attempt of a stream. In a long pause it checks the servers of the path, and moves the
 * attempt around those that take no connection or gives it up so that it is run again.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ReachabilityCheck } from "../../connection/gateway/reachability.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import { OrderOutcome, type ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ServerExclusions } from "../../process/gateway/server-suspicions.js";
import type { LayerPathChooser } from "./layer-path-chooser.js";
import {
    addressedParts,
    formatPath,
    type LayerPath,
    type LayerPathPart,
    type RequestSize,
} from "./layer-path-finder.js";
import { type LostPartPolicy, Repair } from "./lost-part-policy.js";
import { type StallLimits, StallWatch } from "./stall-watch.js";
import type { StreamAttempt } from "./stream-attempt.js";
import type { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface SupervisionParts {
    readonly paths: LayerPathChooser;
    readonly recoveryPolicy: LostPartPolicy;
    readonly reachability: ReachabilityCheck;
    readonly control: ServerControl;
    readonly suspicions: ServerExclusions;
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
    /** Whether the request may be run again. */
    mayRepeat(): boolean;
    /** The path of a new run that avoids the servers. */
    choosePath(avoided: ReadonlySet<string>): LayerPath | undefined;
    /** A path that keeps all parts but those of the lost servers. */
    chooseReplacement(path: LayerPath, lost: ReadonlySet<string>): LayerPath | undefined;
}

/** The attempts that run, so that what one finds out about a server serves all. */
export class RunningAttempts {
    private readonly supervisors = new Set<AttemptSupervisor>();

    add(supervisor: AttemptSupervisor): void {
        this.supervisors.add(supervisor);
    }

    remove(supervisor: AttemptSupervisor): void {
        this.supervisors.delete(supervisor);
    }

    /** Has each attempt look whether a server of its path no longer computes its part. */
    reviewParts(hasGivenUp: (part: LayerPathPart) => boolean): void {
        [...this.supervisors].forEach(supervisor => void supervisor.reviewParts(hasGivenUp));
    }

    /** Tells of servers that took no connection in a check that began at the given time. */
    reportLost(servers: readonly ServerEntry[], checkedSince: number): void {
        [...this.supervisors].forEach(supervisor => void supervisor.replaceLost(servers, checkedSince));
    }
}

export class AttemptSupervisor {
    readonly watch: StallWatch;
    private currentPath: LayerPath;
    private replacing = false;
    private stopped = false;

    constructor(
        private readonly parts: SupervisionParts,
        private readonly running: RunningAttempts,
        private readonly supervised: SupervisedAttempt,
    ) {
        this.currentPath = supervised.path;
        this.watch = new StallWatch(supervised.limits, {
            quiet: () => void this.checkServers(),
            stalled: () => this.giveUp("no progress", []),
        });
        running.add(this);
    }

    /** The path on which the attempt runs by now. */
    get path(): LayerPath {
        return this.currentPath;
    }

    stop(): void {
        this.stopped = true;
        this.watch.stop();
        this.running.remove(this);
    }

    /**
     * Moves the attempt around lost servers of its path, or gives it up. Does nothing if none of them is on its path, or if
     * an event has come since the check began, which shows that they live.
     */
    async replaceLost(servers: readonly ServerEntry[], checkedSince: number): Promise<void> {
        const lost = servers.filter(server => this.currentPath.parts.some(part => part.server.id === server.id));
        const progressed = (this.supervised.progress.lastEventAt ?? -Infinity) > checkedSince;
        if (!progressed) {
            await this.repair(lost, "takes no connection");
        }
    }

    /** Moves the attempt around servers that were ordered to hold other layers, or that the leader found lost. */
    async reviewParts(hasGivenUp: (part: LayerPathPart) => boolean): Promise<void> {
        const lost = this.currentPath.parts.filter(hasGivenUp).map(({ server }) => server);
        await this.repair(lost, "no longer computes its part");
    }

    private async checkServers(): Promise<void> {
        const checkedSince = monotonicNow();
        const servers = this.currentPath.parts.map(({ server }) => server);
        const unreachable = await this.parts.reachability.findUnreachable(servers);
        if (unreachable.length === 0) {
            return;
        }
        unreachable.forEach(({ id }) => this.parts.suspicions.recordFailure(id, "takes no connection"));
        this.running.reportLost(unreachable, checkedSince);
    }

    private async repair(lost: readonly ServerEntry[], reason: string): Promise<void> {
        if (lost.length === 0 || this.replacing || this.stopped) {
            return;
        }
        this.replacing = true;
        const outcome = await this.moveAround(lost, reason);
        this.replacing = false;
        if (outcome === Repair.runAgain) {
            this.giveUp(`a server of the path ${reason}`, lost);
        }
    }

    /** What became of the attempt: moved, to be run again, or left as it is. */
    private async moveAround(lost: readonly ServerEntry[], reason: string): Promise<Repair> {
        const { supervised, parts, currentPath: path } = this;
        const lostIds = new Set(lost.map(({ id }) => id));
        // Before the first event there is no KV cache worth keeping.
        const replacement = supervised.progress.lastEventId === undefined
            ? undefined
            : supervised.chooseReplacement(path, lostIds);
        const mayRepeat = supervised.mayRepeat();
        const fresh = mayRepeat ? supervised.choosePath(lostIds) : undefined;
        const repair = parts.recoveryPolicy.choose({ path, replacement, fresh });
        const outcome = repair === Repair.move ? await this.move(path, replacement!) : repair;
        const moved = outcome === OrderOutcome.begun || outcome === OrderOutcome.alreadyHeld;
        if (moved) {
            this.currentPath = replacement!;
        }
        parts.metrics.increment("pomelostall.gateway.lost_parts", 1, { replaced: String(moved) });
        this.log(repair === Repair.move ? replacement : fresh, `${[...lostIds].join(",")} ${reason}`, repair, outcome);
        return moved ? Repair.move : mayRepeat ? Repair.runAgain : Repair.wait;
    }

    private async move(path: LayerPath, replacement: LayerPath): Promise<string> {
        try {
            const { id } = this.supervised.request;
            return await this.parts.control.changePath(path.parts[0]!.server, id, addressedParts(replacement));
        }
        catch (error) {
            return String(error);
        }
    }

    private giveUp(reason: string, unreachable: readonly ServerEntry[]): void {
        if (!this.stopped && this.supervised.mayRepeat()) {
            this.supervised.attempt.giveUp(reason, unreachable);
        }
    }

    private log(chosen: LayerPath | undefined, reason: string, repair: Repair, outcome: string): void {
        const { request, progress } = this.supervised;
        this.parts.logger.decision({
            kind: "replace-lost-part",
            chosen: chosen === undefined ? "" : formatPath(chosen),
            over: [],
            reason,
            configurationVersion: request.configurationVersion,
            requestId: request.id,
            fields: { repair, outcome, lastEventId: progress.lastEventId },
        });
    }
}
