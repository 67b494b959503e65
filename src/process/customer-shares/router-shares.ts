/**
 * A router's part in the customers' shares: counts what each customer asks for and takes, for the placement leader, and applies
 * the leader's limits. Answers the load pattern of customers that send a router less than one request between two notices:
 * the part of a customer's demand that may take room is carried from request to request, so that no customer is held
 * back several times in a row by chance. Limits lapse soon after the leader's notices cease.
 */
import { LRUCache } from "lru-cache";
import { monotonicNow } from "../../common/clock.js";
import type { Metrics } from "../../common/metrics.js";
import { rendezvousScore } from "../../common/rendezvous.js";
import type { ByCustomer, CustomerDemand } from "../../domain/gateway/placement-notice.js";
import {
    maximumAgeMilliseconds,
    maximumReportBytes,
    minimumExchangeMilliseconds,
    withoutCustomer,
} from "./constants.js";
import { keepWithinBytes } from "./message-bytes.js";
import type { CustomerShares } from "./types.js";

/** Customers of one report; a router serves fewer between two notices. */
const maximumReportedCustomers = 16;
/** Customers in configurations and those that were removed, of all services. */
const maximumCarriedCustomers = 4_096;
/** Bound of a request's tokens, beyond the context of any model. */
const maximumRequestTokens = 1e7;
/** Rounding errors of parts that add up to a whole request. */
const tolerance = 1e-9;
const hashDigits = 8;

export class RouterShares implements CustomerShares {
    /** What was asked and taken since the last report, by service and customer. */
    private unreported = new Map<string, Map<string, CustomerDemand>>();
    private reportedAt = monotonicNow();
    private limits: ByCustomer<number> = new Map();
    private limitsEndAt = -Infinity;
    /** Tokens that may take room, beyond those that have, by service and customer. */
    private readonly carried = new LRUCache<string, number>({ max: maximumCarriedCustomers });

    constructor(private readonly routerName: string, private readonly metrics: Metrics) {}

    /** Counts a request when it arrives, whether it will take room or not. */
    recordAsked(service: string, customer: string | undefined, tokens: number): void {
        this.record(service, customer, { asked: boundTokens(tokens), taken: 0 });
    }

    /** Counts a request when it is first sent to backend servers. */
    recordTaken(service: string, customer: string | undefined, tokens: number): void {
        this.record(service, customer, { asked: 0, taken: boundTokens(tokens) });
    }

    /**
     * What was asked and taken since the last report, those that asked for the most; the rest is left for the next one. Undefined
     * if the last report was just made.
     */
    takeDemands(): ByCustomer<CustomerDemand> | undefined {
        const age = monotonicNow() - this.reportedAt;
        if (age < minimumExchangeMilliseconds) {
            return undefined;
        }
        if (age > maximumAgeMilliseconds) {
            this.unreported = new Map();
        }
        this.reportedAt = monotonicNow();
        const reported = keepWithinBytes(
            this.unreported,
            (left, right) => right.asked + right.taken - left.asked - left.taken,
            ({ asked, taken }) => [asked, taken],
            { bytes: maximumReportBytes, customers: maximumReportedCustomers },
        );
        reported.forEach((customers, service) =>
            [...customers.keys()].forEach(customer => this.unreported.get(service)?.delete(customer))
        );
        return reported;
    }

    /** Replaces the limits; undefined leaves the last ones in force until they lapse. */
    applyLimits(limits: ByCustomer<number> | undefined): void {
        if (limits !== undefined) {
            this.limits = limits;
            this.limitsEndAt = monotonicNow() + maximumAgeMilliseconds;
        }
    }

    mayTakeRoom(service: string, customer: string = withoutCustomer, tokens: number): boolean {
        const part = monotonicNow() < this.limitsEndAt ? this.limits.get(service)?.get(customer) ?? 1 : 1;
        if (part >= 1) {
            return true;
        }
        const asked = boundTokens(tokens);
        const key = JSON.stringify([service, customer]);
        const carried = (this.carried.get(key) ?? this.firstPosition(key) * asked) + part * asked;
        const mayTakeRoom = carried >= asked - tolerance;
        this.carried.set(key, mayTakeRoom ? carried - asked : carried);
        if (!mayTakeRoom) {
            this.metrics.increment("pomelostall.gateway.over_share_requests", 1, { service });
        }
        return mayTakeRoom;
    }

    /** From 0 to 1, different on each router: else all of them would hold back a customer's first requests, or none. */
    private firstPosition(key: string): number {
        return parseInt(rendezvousScore(key, this.routerName).slice(0, hashDigits), 16) / 16 ** hashDigits;
    }

    private record(service: string, customer: string = withoutCustomer, added: CustomerDemand): void {
        const customers = this.unreported.get(service) ?? new Map<string, CustomerDemand>();
        const before = customers.get(customer) ?? { asked: 0, taken: 0 };
        customers.set(customer, { asked: before.asked + added.asked, taken: before.taken + added.taken });
        this.unreported.set(service, customers);
    }
}

function boundTokens(tokens: number): number {
    return Number.isFinite(tokens) ? Math.min(maximumRequestTokens, Math.max(1, Math.round(tokens))) : 1;
}
