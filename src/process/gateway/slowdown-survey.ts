/**
 * Asks model engines how fast they work, and keeps the answers in `ServerSlowdowns`. Each question costs the engine a
 * connection, so the placement leader asks for the whole fleet and the others learn from its notices: the number of
 * questions grows with the engines, not with the routers. It asks at leisure, a few engines in each pass, as long as all
 * are nominal; as soon as one is slow it asks all within a second, since the causes of slowness are often common to many.
 *
 * A router that hears no leader asks for itself, and only about the engines of its own streams that have become late.
 */
import { monotonicNow } from "../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { SlowdownReadings } from "../../domain/gateway/placement-notice.js";
import type { ServerControl } from "../../domain/gateway/server-control.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { ActiveConfiguration } from "./active-configuration.js";
import { noticeIntervalMilliseconds } from "./fleet-load.js";
import type { ServerExclusions } from "./server-exclusions.js";
import type { ServerRegistry } from "./server-registry.js";
import { type ServerSlowdowns, slowdownLifetimeMilliseconds } from "./server-slowdowns.js";

const passIntervalMilliseconds = 250;
/** While all engines are nominal: finds the first of many slow ones at once, a single one within seconds. */
const calmIntervalMilliseconds = 4_000;
/** While an engine is slow: half of the lifetime of an answer, so that one lost answer does not end what is known. */
const alertIntervalMilliseconds = slowdownLifetimeMilliseconds / 2;
/** Keeps the leader's connections and processor time bounded in fleets of hundreds of engines. */
const maximumReadsPerPass = 25;
/** Two missed notices: a new leader takes seconds, and engines often turn slow in the same disturbance. */
const leaderSilenceMilliseconds = 2 * noticeIntervalMilliseconds;
/** Answers that one router without a leader awaits at the same time. */
const maximumConcurrentOwnReads = 8;

export interface SlowdownSurveyDependencies {
    readonly registry: ServerRegistry;
    readonly configuration: ActiveConfiguration;
    readonly leadership: { readonly isLeader: boolean; };
    readonly control: Pick<ServerControl, "readReport">;
    readonly slowdowns: ServerSlowdowns;
    readonly exclusions: Pick<ServerExclusions, "isPaused">;
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

export class SlowdownSurvey implements ManagedComponent {
    readonly name = "slowdown survey";
    private readonly boundary: FailureBoundary;
    private readonly lastAskedAt = new Map<string, number>();
    private readonly pending = new Set<string>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private lastNoticeAt = -Infinity;

    constructor(private readonly dependencies: SlowdownSurveyDependencies) {
        this.boundary = dependencies.failures.createBoundary(this.name);
    }

    async start(): Promise<void> {
        this.timer = setInterval(this.boundary.wrap(() => this.pass()), passIntervalMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    /** Takes over the readings of a notice; from now on the leader asks. */
    applyNotice(readings: SlowdownReadings): void {
        this.lastNoticeAt = monotonicNow();
        this.dependencies.slowdowns.apply(readings);
    }

    /** Asks the engines of a late stream, unless the leader does that, or they have been asked just before. */
    askFor(servers: readonly ServerEntry[]): void {
        const { leadership } = this.dependencies;
        if (leadership.isLeader || monotonicNow() - this.lastNoticeAt < leaderSilenceMilliseconds) {
            return;
        }
        const room = maximumConcurrentOwnReads - this.pending.size;
        this.listDue(servers, this.intervalFor(servers)).slice(0, Math.max(0, room)).forEach(server =>
            this.ask(server)
        );
    }

    private pass(): void {
        if (!this.dependencies.leadership.isLeader) {
            return;
        }
        const engines = this.listEngines();
        this.forget(engines);
        const interval = this.intervalFor(engines);
        const evenShare = Math.ceil(engines.length * passIntervalMilliseconds / interval);
        this.listDue(engines, interval)
            .slice(0, Math.min(evenShare, maximumReadsPerPass))
            .forEach(server => this.ask(server));
    }

    private intervalFor(servers: readonly ServerEntry[]): number {
        return servers.some(({ id }) => this.dependencies.slowdowns.isSlow(id))
            ? alertIntervalMilliseconds
            : calmIntervalMilliseconds;
    }

    /** Servers that have not been asked for as long as the interval, the longest first; none that wants no requests now. */
    private listDue(servers: readonly ServerEntry[], intervalMilliseconds: number): ServerEntry[] {
        const limit = monotonicNow() - intervalMilliseconds;
        return servers
            .filter(server =>
                !this.pending.has(server.id) && this.askedAt(server.id) <= limit
                && !this.dependencies.exclusions.isPaused(server)
            )
            .sort((left, right) => this.askedAt(left.id) - this.askedAt(right.id));
    }

    private askedAt(id: string): number {
        return this.lastAskedAt.get(id) ?? -Number.MAX_VALUE;
    }

    private listEngines(): ServerEntry[] {
        const { configuration, registry } = this.dependencies;
        return [...configuration.current?.services.values() ?? []]
            .filter(({ engine }) => engine !== undefined)
            .flatMap(({ name }) => registry.active(name));
    }

    private forget(present: readonly ServerEntry[]): void {
        const ids = new Set(present.map(({ id }) => id));
        [...this.lastAskedAt.keys()].filter(id => !ids.has(id)).forEach(id => this.lastAskedAt.delete(id));
    }

    private ask(server: ServerEntry): void {
        this.boundary.run(() => this.read(server));
    }

    private async read(server: ServerEntry): Promise<void> {
        const { control, slowdowns, logger } = this.dependencies;
        const askedAt = monotonicNow();
        this.lastAskedAt.set(server.id, askedAt);
        this.pending.add(server.id);
        try {
            const { slowdown } = await control.readReport(server);
            slowdowns.record(server.id, slowdown, askedAt);
        }
        catch (error) {
            // Whether the engine is lost is decided elsewhere; what was known of its speed holds until it expires.
            logger.debug("engine did not state its speed", { server: server.id, error: String(error) });
        }
        finally {
            this.pending.delete(server.id);
        }
    }
}
