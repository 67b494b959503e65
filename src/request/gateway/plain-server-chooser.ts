/**
 * Chooses the backend server for one attempt of a request to a plain service, which runs a request on one server. Prefers
 * active servers that are not excluded or kept out after recent failures, then any active server, then servers that have recently
 * begun to leave. Servers that have requested a pause are never chosen.
 */
import { type RandomSource, shuffle } from "../../common/random.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import type { LoadEstimate, WorkLeftEstimate } from "../../process/gateway/fleet-load.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { ServerFailures } from "../../process/gateway/server-failures/types.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import { normalTail } from "../../process/request-costs/log-normal.js";
import type { RequestCostEstimator } from "../../process/request-costs/types.js";

export interface PlainServerChooser {
    /**
     * Returns undefined if no server is left other than the IDs in `tried`. Requests that may be repeated try servers that have
     * failed.
     */
    choose(service: string, tried: ReadonlySet<string>, mayBeRepeated: boolean): ServerEntry | undefined;
    /** Time until the first server accepts requests, if all active servers have requested a pause; 0 otherwise. */
    pauseMilliseconds(service: string): number;
}

/** Number of running requests on each server. */
export type RequestCounts = Pick<LoadEstimate, "requests">;

/** Decides between the servers of a service that can take a request. */
export interface PlainServerPolicy {
    /** Returns undefined if there are no servers. */
    select(servers: readonly ServerEntry[]): ServerEntry | undefined;
}

export class PreferredServerChooser implements PlainServerChooser {
    constructor(
        private readonly registry: ServerRegistry,
        private readonly exclusions: ServerExclusions,
        private readonly policy: PlainServerPolicy,
        /** How long a leaving server may still be used if there is no other. */
        private readonly leavingUseMilliseconds: number,
        private readonly serverFailures?: Pick<ServerFailures, "isKeptOut">,
    ) {}

    choose(service: string, tried: ReadonlySet<string>, mayBeRepeated: boolean): ServerEntry | undefined {
        const isCandidate = (server: ServerEntry) => !tried.has(server.id) && !this.exclusions.isPaused(server);
        const active = this.registry.active(service).filter(isCandidate);
        const notExcluded = active.filter(server =>
            !this.exclusions.isExcluded(server) && this.serverFailures?.isKeptOut(server, mayBeRepeated) !== true
        );
        return this.policy.select(notExcluded)
            ?? this.policy.select(active)
            ?? this.policy.select(
                this.registry.recentlyLeaving(service, this.leavingUseMilliseconds).filter(isCandidate),
            );
    }

    pauseMilliseconds(service: string): number {
        const pauses = this.registry.active(service).map(server => this.exclusions.pauseMilliseconds(server));
        return pauses.length === 0 ? 0 : Math.min(...pauses);
    }
}

/** Baseline policy: the server with the lowest ratio of running requests to slots, at random among equals. */
export class LeastLoadedPolicy implements PlainServerPolicy {
    constructor(private readonly load: RequestCounts, private readonly random: RandomSource) {}

    select(servers: readonly ServerEntry[]): ServerEntry | undefined {
        return servers
            .map(server => ({
                server,
                load: this.load.requests(server.id) / server.slots,
                tieBreaker: this.random.next(),
            }))
            .sort((left, right) => left.load - right.load || left.tieBreaker - right.tieBreaker)[0]?.server;
    }
}

/**
 * The less loaded of two servers drawn at random. Answers the load pattern of a few servers behind many routers, each of
 * which rarely sends a request: a router's own requests say nothing about a server, and the loads of the whole fleet are
 * older than most requests last, so that all routers would choose the same least loaded server at once.
 */
export class TwoChoicesPolicy implements PlainServerPolicy {
    private readonly leastLoaded: LeastLoadedPolicy;

    constructor(fleetLoad: RequestCounts, private readonly random: RandomSource) {
        this.leastLoaded = new LeastLoadedPolicy(fleetLoad, random);
    }

    select(servers: readonly ServerEntry[]): ServerEntry | undefined {
        return this.leastLoaded.select(shuffle(this.random, servers).slice(0, 2));
    }
}

/**
 * Of two servers drawn at random, the one that is expected to end the request first, by the work that it still has to do and
 * by its own pace. Answers the load pattern of requests whose work differs by an order of magnitude, and of a server
 * that turns slow without failing: counts of requests say the same of both.
 */
export class LeastWorkPolicy implements PlainServerPolicy {
    constructor(
        private readonly load: RequestCounts & WorkLeftEstimate,
        private readonly costs: Pick<RequestCostEstimator, "usualRunMilliseconds">,
        private readonly random: RandomSource,
    ) {}

    select(servers: readonly ServerEntry[]): ServerEntry | undefined {
        return shuffle(this.random, servers)
            .slice(0, 2)
            .map(server => ({ server, milliseconds: this.expectedMilliseconds(server) }))
            .sort((left, right) => left.milliseconds - right.milliseconds)[0]?.server;
    }

    private expectedMilliseconds({ id, service, slots }: ServerEntry): number {
        const requests = this.load.requests(id);
        const workOfOne = requests === 0 ? 0 : this.load.workMilliseconds(id) / requests;
        return expectedExcess(requests + 1, slots) * workOfOne / slots + this.costs.usualRunMilliseconds(service, id);
    }
}

/**
 * Expected number of requests beyond the slots. The count is half a second old: as many requests end as arrive meanwhile,
 * so that it is taken as normal with the count as its variance.
 */
function expectedExcess(requests: number, slots: number): number {
    const deviation = Math.sqrt(requests);
    const scaled = (requests - slots) / deviation;
    return deviation * Math.exp(-(scaled ** 2) / 2) / Math.sqrt(2 * Math.PI)
        + (requests - slots) * normalTail(-scaled);
}
