/**
 * What runs on each backend server from all routers together. Each router knows its own part exactly; the router that
 * leads placement collects the parts with its notices and gives each router the sum of the others'.
 */
import { monotonicNow } from "../../common/clock.js";
import type { LoadFigure, ServerLoads } from "../../domain/gateway/placement-notice.js";
import type { ServerLoad } from "./server-load.js";

export interface LoadEstimate {
    requests(serverId: string): number;
    /** Tokens of the requests that run, prompt and expected answer. */
    tokens(serverId: string): number;
}

/** Takes this router's load as a sample of everyone's; the baseline, and what is left when no notices come. */
export class ScaledOwnLoad implements LoadEstimate {
    constructor(private readonly own: ServerLoad, private readonly routerCount: () => number) {}

    requests(serverId: string): number {
        return this.own.requests(serverId) * this.routerCount();
    }

    tokens(serverId: string): number {
        return this.own.tokens(serverId) * this.routerCount();
    }
}

interface DatedLoads {
    readonly loads: ServerLoads;
    readonly at: number;
}

/** Four notices that are missing; streams last some seconds, so that older figures say little. */
const lifeMilliseconds = 2_000;

export class FleetLoad implements LoadEstimate {
    private others: DatedLoads | undefined;
    /** By router; only the leader has these. */
    private readonly parts = new Map<string, DatedLoads>();
    private readonly fallback: ScaledOwnLoad;

    constructor(private readonly own: ServerLoad, routerCount: () => number) {
        this.fallback = new ScaledOwnLoad(own, routerCount);
    }

    requests(serverId: string): number {
        const others = this.freshOthers();
        return others === undefined
            ? this.fallback.requests(serverId)
            : this.own.requests(serverId) + (others.get(serverId)?.requests ?? 0);
    }

    tokens(serverId: string): number {
        const others = this.freshOthers();
        return others === undefined
            ? this.fallback.tokens(serverId)
            : this.own.tokens(serverId) + (others.get(serverId)?.tokens ?? 0);
    }

    /** This router's part. */
    get ownLoads(): ServerLoads {
        return this.own.all;
    }

    /** Takes what all other routers have running. */
    applyOthers(loads: ServerLoads): void {
        this.others = { loads, at: monotonicNow() };
    }

    /** Takes one router's part, as the leader. */
    notePart(router: string, loads: ServerLoads): void {
        const now = monotonicNow();
        [...this.parts].filter(([, { at }]) => now - at > lifeMilliseconds).forEach(([old]) => this.parts.delete(old));
        this.parts.set(router, { loads, at: now });
        this.applyOthers(sum(this.freshParts()));
    }

    /** What all routers but the given one have running, as far as the leader knows. */
    sumWithout(router: string): ServerLoads {
        return sum([this.own.all, ...this.freshParts(router)]);
    }

    private freshOthers(): ServerLoads | undefined {
        return this.others !== undefined && monotonicNow() - this.others.at < lifeMilliseconds
            ? this.others.loads
            : undefined;
    }

    private freshParts(exceptRouter?: string): ServerLoads[] {
        const limit = monotonicNow() - lifeMilliseconds;
        return [...this.parts].flatMap(([router, { loads, at }]) =>
            at > limit && router !== exceptRouter ? [loads] : []
        );
    }
}

function sum(parts: readonly ServerLoads[]): ServerLoads {
    const total = new Map<string, LoadFigure>();
    for (const part of parts) {
        for (const [id, { requests, tokens }] of part) {
            const before = total.get(id);
            total.set(id, { requests: requests + (before?.requests ?? 0), tokens: tokens + (before?.tokens ?? 0) });
        }
    }
    return total;
}
