/** Routers and their placement leader before engines with room for a number of tokens, on the paused clock. */
import { jest } from "@jest/globals";
import { monotonicNow } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import type { ByCustomer } from "../../../src/domain/gateway/placement-notice.js";
import { FleetShares } from "../../../src/process/customer-shares/fleet-shares.js";
import { RouterShares } from "../../../src/process/customer-shares/router-shares.js";
import { FairShares, type SharePolicy } from "../../../src/process/customer-shares/weighted-shares.js";

export const service = "pool";
const tickMilliseconds = 50;
const noticeMilliseconds = 500;
const streamMilliseconds = 2_500;
const tokensInRequest = 900;

/** Requests a second; `repeats` is how often the clients send a refused request again, at once. */
export interface CustomerLoad {
    requestsPerSecond: number;
    repeats?: number;
}

export interface FleetOptions {
    readonly routers: number;
    readonly capacity: number;
    readonly seed?: number;
    readonly policy?: SharePolicy;
}

export class SharedFleet {
    readonly routers: RouterShares[];
    leader: FleetShares;
    used = 0;
    /** Tokens that have taken room, by customer. */
    taken = new Map<string, number>();
    limits: ByCustomer<number> | undefined;
    private readonly random: SeededRandom;
    private readonly due = new Map<string, number>();
    private endings: { readonly at: number; readonly tokens: number; }[] = [];
    private noticeAt = -Infinity;

    constructor(readonly options: FleetOptions) {
        this.random = new SeededRandom(options.seed ?? 20261206);
        this.routers = Array.from(
            { length: options.routers },
            (_unused, index) => new RouterShares(`router-${index}`, new SilentMetrics()),
        );
        this.leader = this.createLeader();
    }

    createLeader(): FleetShares {
        return new FleetShares({
            policy: this.options.policy ?? new FairShares(),
            roomUse: () => ({ used: this.used, capacity: this.options.capacity }),
            ownDemands: () => undefined,
            configurationVersion: () => 1,
            metrics: new SilentMetrics(),
            logger: new SilentLogger(),
        });
    }

    /** Plays the load; a request that is over its customer's share, or finds no room, is refused. */
    play(loads: ReadonlyMap<string, CustomerLoad>, milliseconds: number, notify = true): void {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += tickMilliseconds) {
            jest.advanceTimersByTime(tickMilliseconds);
            const now = monotonicNow();
            this.endings = this.endings.filter(({ at, tokens }) => {
                this.used -= at <= now ? tokens : 0;
                return at > now;
            });
            for (const [customer, { requestsPerSecond, repeats = 0 }] of loads) {
                let due = (this.due.get(customer) ?? this.random.next())
                    + requestsPerSecond * tickMilliseconds / 1_000;
                for (; due >= 1; due--) {
                    this.send(customer, repeats);
                }
                this.due.set(customer, due);
            }
            if (notify && now - this.noticeAt >= noticeMilliseconds) {
                this.noticeAt = now;
                this.sendNotices();
            }
        }
    }

    /** Tokens that the customers took in the given time, by customer. */
    measure(loads: ReadonlyMap<string, CustomerLoad>, milliseconds: number): ReadonlyMap<string, number> {
        this.taken = new Map();
        this.play(loads, milliseconds);
        return this.taken;
    }

    sendNotices(): void {
        this.limits = this.leader.computeLimits();
        for (const router of this.routers) {
            router.applyLimits(this.limits);
            this.leader.recordReport(router.takeDemands());
        }
    }

    private send(customer: string, repeats: number): void {
        for (let tried = 0; tried <= repeats; tried++) {
            const router = this.routers[Math.floor(this.random.next() * this.routers.length)]!;
            router.recordAsked(service, customer, tokensInRequest);
            const mayTakeRoom = router.mayTakeRoom(service, customer, tokensInRequest);
            if (mayTakeRoom && this.used + tokensInRequest <= this.options.capacity) {
                router.recordTaken(service, customer, tokensInRequest);
                this.used += tokensInRequest;
                this.endings.push({ at: monotonicNow() + streamMilliseconds, tokens: tokensInRequest });
                this.taken.set(customer, (this.taken.get(customer) ?? 0) + tokensInRequest);
                return;
            }
        }
    }
}

/** Room that the given requests a second take. */
export function roomOf(requestsPerSecond: number): number {
    return requestsPerSecond * tokensInRequest * streamMilliseconds / 1_000;
}

export function tokensOf(requestsPerSecond: number, milliseconds: number): number {
    return requestsPerSecond * tokensInRequest * milliseconds / 1_000;
}
