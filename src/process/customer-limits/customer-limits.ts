/**
 * Limits for each customer that hold over all routers without a call to anyone. Each router spends a share of the
 * customer's rate: its own part of the demand that the routers report to each other. A share falls at once and rises
 * slowly, no faster than reports spread, so that routers that see demand at the same moment do not each take it all.
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
/** Demand is reported again when it has moved by more than this share. */
const reportChangeShare = 0.1;
/** How long a share must have been too small before it rises, so that the other routers' reports have come first. */
const shareHoldMilliseconds = 2_500;
/** Time in which a share may rise from nothing to the whole. */
const shareRiseMilliseconds = 3_000;
/** Demand below this counts as none, in tokens a second. */
const negligibleDemand = 1;
const millisecondsPerSecond = 1000;

/** The part of the fleet that limits need. */
export type DemandExchange = Pick<Fleet, "members" | "reportDemand" | "fleetDemand">;

/** Whether a customer may spend tokens now. */
export interface LimitDecision {
    readonly allowed: boolean;
    /** Seconds until enough tokens will be there. */
    readonly retryAfterSeconds: number;
}

interface CustomerState {
    readonly demand: RateMeter;
    reportedDemand: number;
    share: number;
    /** Since when the share has been below its target; undefined when it is not. */
    belowTargetSince: number | undefined;
    /** Tokens that may be spent at once; below zero when more was used than estimated. */
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

    /** Counts the demand and takes the tokens if the customer's limit allows. */
    tryTake(customer: Customer, tokens: number): LimitDecision {
        const state = this.stateOf(customer);
        state.demand.add(tokens);
        this.refresh(customer, state);
        const depth = customer.burstTokens * state.share;
        // A request larger than the burst runs when the bucket is full, and is paid for afterwards.
        const needed = Math.min(tokens, depth);
        if (state.balance >= needed) {
            state.balance -= tokens;
            return { allowed: true, retryAfterSeconds: 0 };
        }
        const rate = Math.max(negligibleDemand, customer.tokensPerSecond * state.share);
        return { allowed: false, retryAfterSeconds: Math.max(1, Math.ceil((needed - state.balance) / rate)) };
    }

    /** Corrects an estimate: a positive number takes more tokens, a negative one gives some back. */
    correct(customer: Customer, tokens: number): void {
        this.stateOf(customer).balance -= tokens;
    }

    /** This router's present share of the customer's limit, from 0 to 1. */
    shareOf(customer: Customer): number {
        const state = this.stateOf(customer);
        this.refresh(customer, state);
        return state.share;
    }

    private stateOf(customer: Customer): CustomerState {
        let state = this.states.get(customer.name);
        if (state === undefined) {
            const share = this.evenShare;
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

    private get evenShare(): number {
        const alive = this.fleet.members().filter(member => member.state === RouterState.alive).length;
        return 1 / Math.max(1, alive);
    }

    private refresh(customer: Customer, state: CustomerState): void {
        const now = monotonicNow();
        const elapsed = now - state.updatedAt;
        state.updatedAt = now;
        this.moveShare(state, this.targetShare(customer, state), now, elapsed);
        const earned = (elapsed * customer.tokensPerSecond * state.share) / millisecondsPerSecond;
        state.balance = Math.min(customer.burstTokens * state.share, state.balance + earned);
    }

    private moveShare(state: CustomerState, target: number, now: number, elapsed: number): void {
        if (target <= state.share) {
            state.share = target;
            state.belowTargetSince = undefined;
            return;
        }
        state.belowTargetSince ??= now;
        if (now - state.belowTargetSince >= shareHoldMilliseconds) {
            state.share = Math.min(target, state.share + elapsed / shareRiseMilliseconds);
        }
    }

    private targetShare(customer: Customer, state: CustomerState): number {
        const own = state.demand.perSecond;
        const fleet = this.fleet.fleetDemand(customer.name);
        if (own < negligibleDemand) {
            return this.evenShare;
        }
        // The fleet's figure may still hold an older report of this router's demand.
        const others = Math.max(0, fleet - state.reportedDemand);
        return own / (own + others);
    }

    private reportDemands(): void {
        for (const [customer, state] of this.states.entries()) {
            const demand = Math.round(state.demand.perSecond);
            const change = Math.abs(demand - state.reportedDemand);
            if (change > Math.max(negligibleDemand, state.reportedDemand * reportChangeShare)) {
                state.reportedDemand = demand;
                this.fleet.reportDemand(customer, demand);
            }
        }
    }
}
