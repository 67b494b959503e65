/**
 * Distributed token-bucket rate limits for each customer, enforced without a remote call per request. Each router
 * enforces a share of the customer's rate, in proportion to its part of the total demand that the routers report to
 * each other. A share decreases immediately but increases gradually, no faster than the reports spread, so that routers
 * that see new demand at the same time do not each claim the whole limit.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Customer } from "../../domain/configuration.js";
import { type Fleet, RouterState } from "../../domain/fleet.js";
import { RateMeter } from "./rate-meter.js";

const maximumCustomers = 10_000;
const demandWindowMilliseconds = 2_000;
const reportPeriodMilliseconds = 500;
/** Demand is reported again when it differs from the last report by more than this fraction. */
const reportChangeShare = 0.1;
/** How long a share must stay below its target before it increases, so that the other routers' reports arrive first. */
const shareIncreaseDelayMilliseconds = 2_500;
/** Minimum time in which a share increases from 0 to 1. */
const shareRampMilliseconds = 3_000;
/** Demand below this rate is treated as no demand. */
const negligibleTokensPerSecond = 1;
const millisecondsPerSecond = 1000;

/** The methods of `Fleet` that customer limits use. */
export type DemandExchange = Pick<Fleet, "members" | "reportDemand" | "fleetDemand">;

export interface LimitDecision {
    readonly allowed: boolean;
    /** Estimated seconds until enough tokens are available, at least 1; 0 when allowed. */
    readonly retryAfterSeconds: number;
}

interface CustomerState {
    readonly demand: RateMeter;
    /** Last demand reported to the other routers, in tokens per second. */
    reportedDemand: number;
    /** This router's fraction of the customer's limit, from 0 to 1. */
    share: number;
    /** Monotonic milliseconds since which the share has been below its target; undefined when it is not. */
    belowTargetSince: number | undefined;
    /** Tokens in the bucket; negative after a request larger than the bucket or an estimate that was too low. */
    balance: number;
    updatedAt: number;
}

export class CustomerLimits implements ManagedComponent {
    readonly name = "customer limits";
    private readonly states = new LRUCache<string, CustomerState>({ max: maximumCustomers });
    private timer: ReturnType<typeof setInterval> | undefined;

    constructor(private readonly fleet: DemandExchange) {}

    async start(): Promise<void> {
        this.timer = setInterval(() => this.reportDemands(), reportPeriodMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    /** Records the demand and takes the tokens if the customer's limit allows. */
    tryTake(customer: Customer, tokens: number): LimitDecision {
        const state = this.stateOf(customer);
        state.demand.add(tokens);
        this.refresh(customer, state);
        const bucketSize = customer.burstTokens * state.share;
        // A request larger than the bucket is allowed when the bucket is full and leaves a negative balance.
        const needed = Math.min(tokens, bucketSize);
        if (state.balance >= needed) {
            state.balance -= tokens;
            return { allowed: true, retryAfterSeconds: 0 };
        }
        const rate = Math.max(negligibleTokensPerSecond, customer.tokensPerSecond * state.share);
        return { allowed: false, retryAfterSeconds: Math.max(1, Math.ceil((needed - state.balance) / rate)) };
    }

    /** Corrects an estimate: a positive number takes further tokens, a negative one returns some. */
    correct(customer: Customer, tokens: number): void {
        this.stateOf(customer).balance -= tokens;
    }

    /** Returns this router's current share of the customer's limit, from 0 to 1. */
    shareOf(customer: Customer): number {
        const state = this.stateOf(customer);
        this.refresh(customer, state);
        return state.share;
    }

    private stateOf(customer: Customer): CustomerState {
        let state = this.states.get(customer.name);
        if (state === undefined) {
            const share = this.equalShare;
            state = {
                demand: new RateMeter(demandWindowMilliseconds),
                reportedDemand: 0,
                share,
                belowTargetSince: undefined,
                balance: customer.burstTokens * share,
                updatedAt: monotonicNow(),
            };
            this.states.set(customer.name, state);
        }
        return state;
    }

    private get equalShare(): number {
        const alive = this.fleet.members().filter(member => member.state === RouterState.alive).length;
        return 1 / Math.max(1, alive);
    }

    private refresh(customer: Customer, state: CustomerState): void {
        const now = monotonicNow();
        const elapsed = now - state.updatedAt;
        state.updatedAt = now;
        this.updateShare(state, this.targetShare(customer, state), now, elapsed);
        const refill = (elapsed * customer.tokensPerSecond * state.share) / millisecondsPerSecond;
        state.balance = Math.min(customer.burstTokens * state.share, state.balance + refill);
    }

    private updateShare(state: CustomerState, target: number, now: number, elapsed: number): void {
        if (target <= state.share) {
            state.share = target;
            state.belowTargetSince = undefined;
            return;
        }
        state.belowTargetSince ??= now;
        if (now - state.belowTargetSince >= shareIncreaseDelayMilliseconds) {
            state.share = Math.min(target, state.share + elapsed / shareRampMilliseconds);
        }
    }

    private targetShare(customer: Customer, state: CustomerState): number {
        const ownDemand = state.demand.perSecond;
        const fleetDemand = this.fleet.fleetDemand(customer.name);
        if (ownDemand < negligibleTokensPerSecond) {
            return this.equalShare;
        }
        // The fleet's total may contain an older report of this router's demand, so that report is subtracted.
        const otherDemand = Math.max(0, fleetDemand - state.reportedDemand);
        return ownDemand / (ownDemand + otherDemand);
    }

    private reportDemands(): void {
        for (const [customer, state] of this.states.entries()) {
            const demand = Math.round(state.demand.perSecond);
            const change = Math.abs(demand - state.reportedDemand);
            if (change > Math.max(negligibleTokensPerSecond, state.reportedDemand * reportChangeShare)) {
                state.reportedDemand = demand;
                this.fleet.reportDemand(customer, demand);
            }
        }
    }
}
