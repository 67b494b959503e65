/**
 * Estimates the load that all routers together place on each backend server. Each router knows its own load exactly;
 * the placement leader collects the loads of all routers from the responses to its placement notices, and sends each
 * router the sum of the other routers' loads.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RunningLoad, ServerLoads } from "../../domain/gateway/placement-notice.js";
import type { LocalServerLoad } from "./local-server-load.js";

export interface LoadEstimate {
    /** Number of running requests. */
    requests(serverId: string): number;
    /** Prompt tokens and expected output tokens of the running requests. */
    tokens(serverId: string): number;
}

/** Multiplies this router's load by the number of routers; used while no recent placement notice is available. */
export class ExtrapolatedLoad implements LoadEstimate {
    constructor(private readonly localLoad: LocalServerLoad, private readonly routerCount: () => number) {}

    requests(serverId: string): number {
        return this.localLoad.requests(serverId) * this.routerCount();
    }

    tokens(serverId: string): number {
        return this.localLoad.tokens(serverId) * this.routerCount();
    }
}

interface TimestampedLoads {
    readonly loads: ServerLoads;
    readonly receivedAt: number;
}

/** Four missed notices. Streams last a few seconds, so older figures no longer describe the load. */
const maximumAgeMilliseconds = 2_000;

export class FleetLoad implements LoadEstimate {
    private otherLoads: TimestampedLoads | undefined;
    /** Load of each other router, by its address; filled on the placement leader only. */
    private readonly loadsByRouter = new Map<string, TimestampedLoads>();
    private readonly extrapolated: ExtrapolatedLoad;

    constructor(private readonly localLoad: LocalServerLoad, routerCount: () => number) {
        this.extrapolated = new ExtrapolatedLoad(localLoad, routerCount);
    }

    requests(serverId: string): number {
        const others = this.unexpiredOtherLoads();
        return others === undefined
            ? this.extrapolated.requests(serverId)
            : this.localLoad.requests(serverId) + (others.get(serverId)?.requests ?? 0);
    }

    tokens(serverId: string): number {
        const others = this.unexpiredOtherLoads();
        return others === undefined
            ? this.extrapolated.tokens(serverId)
            : this.localLoad.tokens(serverId) + (others.get(serverId)?.tokens ?? 0);
    }

    /** This router's load on each backend server. */
    get localLoads(): ServerLoads {
        return this.localLoad.all;
    }

    /** Replaces the total load of all other routers. */
    applyOtherLoads(loads: ServerLoads): void {
        this.otherLoads = { loads, receivedAt: monotonicNow() };
    }

    /** Records the load that another router reported to this router, the placement leader. */
    recordRouterLoads(router: string, loads: ServerLoads): void {
        const now = monotonicNow();
        [...this.loadsByRouter].filter(([, { receivedAt }]) => now - receivedAt > maximumAgeMilliseconds)
            .forEach(([expired]) => this.loadsByRouter.delete(expired));
        this.loadsByRouter.set(router, { loads, receivedAt: now });
        this.applyOtherLoads(sumLoads(this.unexpiredRouterLoads()));
    }

    /** Total load of all routers except the given one, from unexpired reports and this router's own load. */
    totalExcluding(router: string): ServerLoads {
        return sumLoads([this.localLoad.all, ...this.unexpiredRouterLoads(router)]);
    }

    private unexpiredOtherLoads(): ServerLoads | undefined {
        return this.otherLoads !== undefined && monotonicNow() - this.otherLoads.receivedAt < maximumAgeMilliseconds
            ? this.otherLoads.loads
            : undefined;
    }

    private unexpiredRouterLoads(exceptRouter?: string): ServerLoads[] {
        const limit = monotonicNow() - maximumAgeMilliseconds;
        return [...this.loadsByRouter].flatMap(([router, { loads, receivedAt }]) =>
            receivedAt > limit && router !== exceptRouter ? [loads] : []
        );
    }
}

function sumLoads(summands: readonly ServerLoads[]): ServerLoads {
    const total = new Map<string, RunningLoad>();
    for (const loads of summands) {
        for (const [id, { requests, tokens }] of loads) {
            const before = total.get(id);
            total.set(id, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) });
        }
    }
    return total;
}
