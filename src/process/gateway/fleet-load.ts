/**
 * Estimates the load that all routers together place on each backend server. Each router knows its own load exactly;
 * the placement leader collects the loads of all routers from the responses to its placement notices, and sends each
 * router the sum of the other routers' loads.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RunningLoad, ServerLoads, WorkLeft } from "../../domain/gateway/placement-notice.js";
import type { LocalServerLoad } from "./local-server-load.js";

/** Interval at which the placement leader sends the loads to the other routers while nothing else changes. */
export const noticeIntervalMilliseconds = 500;

export interface LoadEstimate {
    /** Number of running requests. */
    requests(serverId: string): number;
    /** Prompt tokens and expected output tokens of the running requests. */
    tokens(serverId: string): number;
}

/** Work that running plain requests have left. */
export interface WorkLeftEstimate {
    /** Run time in milliseconds that the requests on the server are expected to need yet. */
    workMilliseconds(serverId: string): number;
}

/** Multiplies this router's load by the number of routers; used while no recent placement notice is available. */
export class ExtrapolatedLoad implements LoadEstimate, WorkLeftEstimate {
    constructor(private readonly localLoad: LocalServerLoad, private readonly routerCount: () => number) {}

    requests(serverId: string): number {
        return this.localLoad.requests(serverId) * this.routerCount();
    }

    tokens(serverId: string): number {
        return this.localLoad.tokens(serverId) * this.routerCount();
    }

    workMilliseconds(serverId: string): number {
        return this.localLoad.workMilliseconds(serverId) * this.routerCount();
    }
}

interface TimestampedLoads {
    readonly loads: ServerLoads;
    readonly work: WorkLeft;
    readonly receivedAt: number;
}

/** Four missed notices. Streams last a few seconds, so older figures no longer describe the load. */
const maximumAgeMilliseconds = 4 * noticeIntervalMilliseconds;

const noWork: WorkLeft = new Map();

export class FleetLoad implements LoadEstimate, WorkLeftEstimate {
    private otherLoads: TimestampedLoads | undefined;
    /** Load of each other router, by its address, oldest report first; filled on the placement leader only. */
    private readonly loadsByRouter = new Map<string, TimestampedLoads>();
    /**
     * Sum of `loadsByRouter`, kept up to date with each report: adding up all reports for each router of a notice would
     * cost time proportional to the square of the number of routers.
     */
    private readonly reportedTotal = new Map<string, RunningLoad>();
    /** Likewise for the work left. */
    private readonly reportedWork = new Map<string, number>();
    private readonly extrapolated: ExtrapolatedLoad;

    constructor(private readonly localLoad: LocalServerLoad, routerCount: () => number) {
        this.extrapolated = new ExtrapolatedLoad(localLoad, routerCount);
    }

    requests(serverId: string): number {
        const others = this.unexpiredOtherLoads();
        return others === undefined
            ? this.extrapolated.requests(serverId)
            : this.localLoad.requests(serverId) + (others.loads.get(serverId)?.requests ?? 0);
    }

    tokens(serverId: string): number {
        const others = this.unexpiredOtherLoads();
        return others === undefined
            ? this.extrapolated.tokens(serverId)
            : this.localLoad.tokens(serverId) + (others.loads.get(serverId)?.tokens ?? 0);
    }

    workMilliseconds(serverId: string): number {
        const others = this.unexpiredOtherLoads();
        return others === undefined
            ? this.extrapolated.workMilliseconds(serverId)
            : this.localLoad.workMilliseconds(serverId) + (others.work.get(serverId) ?? 0);
    }

    /** This router's load on each backend server. */
    get localLoads(): ServerLoads {
        return this.localLoad.all;
    }

    /** Work left of this router's plain requests on each backend server. */
    get localWork(): WorkLeft {
        return this.localLoad.allWork;
    }

    /** Replaces the total load of all other routers. */
    applyOtherLoads(loads: ServerLoads, work: WorkLeft = noWork): void {
        this.otherLoads = { loads, work, receivedAt: monotonicNow() };
    }

    /** Records the load that another router reported to this router, the placement leader. */
    recordRouterLoads(router: string, loads: ServerLoads, work: WorkLeft = noWork): void {
        this.removeExpiredReports();
        this.removeReport(router);
        this.loadsByRouter.set(router, { loads, work, receivedAt: monotonicNow() });
        addLoads(this.reportedTotal, loads, 1);
        addWork(this.reportedWork, work, 1);
        this.applyOtherLoads(this.reportedTotal, this.reportedWork);
    }

    /** Total load of all routers except the given one, from unexpired reports and this router's own load. */
    totalExcluding(router: string): ServerLoads {
        this.removeExpiredReports();
        const total = new Map(this.reportedTotal);
        addLoads(total, this.localLoad.all, 1);
        addLoads(total, this.loadsByRouter.get(router)?.loads ?? new Map(), -1);
        return total;
    }

    /** Work left of all routers except the given one. */
    workExcluding(router: string): WorkLeft {
        this.removeExpiredReports();
        const total = new Map(this.reportedWork);
        addWork(total, this.localWork, 1);
        addWork(total, this.loadsByRouter.get(router)?.work ?? noWork, -1);
        return total;
    }

    private unexpiredOtherLoads(): TimestampedLoads | undefined {
        return this.otherLoads !== undefined && monotonicNow() - this.otherLoads.receivedAt < maximumAgeMilliseconds
            ? this.otherLoads
            : undefined;
    }

    private removeExpiredReports(): void {
        const limit = monotonicNow() - maximumAgeMilliseconds;
        for (const [router, { receivedAt }] of this.loadsByRouter) {
            if (receivedAt > limit) {
                return;
            }
            this.removeReport(router);
        }
    }

    private removeReport(router: string): void {
        addLoads(this.reportedTotal, this.loadsByRouter.get(router)?.loads ?? new Map(), -1);
        addWork(this.reportedWork, this.loadsByRouter.get(router)?.work ?? noWork, -1);
        this.loadsByRouter.delete(router);
    }
}

/** Adds the loads to the total, or subtracts them if the sign is -1. */
function addLoads(total: Map<string, RunningLoad>, loads: ServerLoads, sign: 1 | -1): void {
    for (const [id, { requests, tokens }] of loads) {
        const before = total.get(id);
        const sum = {
            requests: (before?.requests ?? 0) + sign * requests,
            tokens: (before?.tokens ?? 0) + sign * tokens,
        };
        if (sum.requests === 0 && sum.tokens === 0) {
            total.delete(id);
        }
        else {
            total.set(id, sum);
        }
    }
}

/** Sums that are smaller than this are rounding errors. */
const negligibleMilliseconds = 1e-3;

/** Adds the work to the total, or subtracts it if the sign is -1. */
function addWork(total: Map<string, number>, work: WorkLeft, sign: 1 | -1): void {
    for (const [id, milliseconds] of work) {
        const sum = (total.get(id) ?? 0) + sign * milliseconds;
        if (sum <= negligibleMilliseconds) {
            total.delete(id);
        }
        else {
            total.set(id, sum);
        }
    }
}
