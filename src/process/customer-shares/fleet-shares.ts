/**
 * The placement leader's account of what customers ask for and take at all routers, and the limits that follow from it. Answers
 * the load pattern of one customer's storm, or of the repeated tries of its clients, while room at the engines is short: only
 * customers that ask for more than their weighted fair share are limited, to that share, and what others leave is theirs.
 * Below half of the room in use, and before a leader knows the demand, nobody is limited.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ByCustomer, CustomerDemand } from "../../domain/gateway/placement-notice.js";
import {
    amplyFreeRoomUse,
    catchUpMilliseconds,
    demandWindowMilliseconds,
    maximumAgeMilliseconds,
    maximumLimitBytes,
    minimumExchangeMilliseconds,
    shortRoomUse,
    targetRoomUse,
    usualDemandWindowMilliseconds,
    withoutCustomer,
} from "./constants.js";
import { DemandRate } from "./demand-rate.js";
import { keepWithinBytes } from "./message-bytes.js";
import type { RoomUse } from "./service-room.js";
import type { SharePolicy } from "./weighted-shares.js";

export interface FleetSharesOptions {
    readonly policy: SharePolicy;
    /** Room in use; undefined if it is not known. */
    roomUse(service: string): RoomUse | undefined;
    /** What this router itself has to report. */
    ownDemands(): ByCustomer<CustomerDemand> | undefined;
    configurationVersion(): number;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** Bounds the memory that odd reports take; ten times the customers of a large fleet. */
const maximumCustomers = 4_096;
const maximumLimitedCustomers = 64;
/** Customers below this rate, in tokens a second, are forgotten. */
const negligibleRate = 0.1;
/** Part of the mean weight that small and new customers have at least. */
const minimumWeight = 0.5;
/** Parts of demand above this one would hold back one request in fifty and aren't published. */
const maximumPublishedPart = 0.98;
/** Part of what takes room now that may take it next, however full the engines seem. */
const minimumFlow = 0.25;
/** Interval of log lines while customers are limited. */
const logIntervalMilliseconds = 5_000;
const millisecondsPerSecond = 1_000;

interface Account {
    /** Since the last round. */
    asked: number;
    taken: number;
    readonly askedRate: DemandRate;
    readonly usualRate: DemandRate;
    /** Tokens a second, of the last round while room was short. */
    share: number | undefined;
    /** Tokens by which the customer took less than its share while it asked for more. */
    deficit: number;
}

interface ServiceAccount {
    readonly customers: Map<string, Account>;
    readonly takenRate: DemandRate;
    /** Room in use as a moving average, in tokens; undefined before the first round. */
    averageUse: number | undefined;
    short: boolean;
    loggedAt: number;
}

interface Limit {
    readonly part: number;
    /** Tokens a second asked for beyond the share. */
    readonly excess: number;
}

export class FleetShares {
    private readonly services = new Map<string, ServiceAccount>();
    private customerCount = 0;
    private ledSince = -Infinity;
    private computedAt = -Infinity;

    constructor(private readonly options: FleetSharesOptions) {}

    /** Records what a router reports in its answer to a notice. */
    recordReport(demands: ByCustomer<CustomerDemand> | undefined): void {
        demands?.forEach((customers, service) =>
            customers.forEach(({ asked, taken }, customer) => this.recordDemand(service, customer, asked, taken))
        );
    }

    /**
     * Limits for all routers; undefined if the last ones are still fresh. Called for each round of notices while this router
     * leads; after a pause, this router may have ceased to lead meanwhile.
     */
    computeLimits(): ByCustomer<number> | undefined {
        const now = monotonicNow();
        const milliseconds = now - this.computedAt;
        if (milliseconds < minimumExchangeMilliseconds) {
            return undefined;
        }
        this.computedAt = now;
        this.recordReport(this.options.ownDemands());
        if (milliseconds > maximumAgeMilliseconds) {
            this.services.clear();
            this.customerCount = 0;
            this.ledSince = now;
            return new Map();
        }
        const limits = new Map<string, ReadonlyMap<string, Limit>>();
        for (const [service, account] of this.services) {
            const ofService = this.updateService(service, account, milliseconds);
            if (ofService.size > 0) {
                limits.set(service, ofService);
            }
        }
        const bounds = { bytes: maximumLimitBytes, customers: maximumLimitedCustomers };
        const published = keepWithinBytes(
            limits,
            (left, right) => right.excess - left.excess,
            ({ part }) => part,
            bounds,
        );
        return new Map([...published].map(([service, customers]) => [
            service,
            new Map([...customers].map(([customer, { part }]) => [customer, part])),
        ]));
    }

    private recordDemand(service: string, customer: string, asked: number, taken: number): void {
        let account = this.services.get(service);
        if (account === undefined) {
            const takenRate = new DemandRate(demandWindowMilliseconds);
            account = { customers: new Map(), takenRate, averageUse: undefined, short: false, loggedAt: -Infinity };
            this.services.set(service, account);
        }
        let ofCustomer = account.customers.get(customer);
        if (ofCustomer === undefined) {
            if (this.customerCount >= maximumCustomers) {
                return;
            }
            this.customerCount++;
            ofCustomer = {
                asked: 0,
                taken: 0,
                askedRate: new DemandRate(demandWindowMilliseconds),
                usualRate: new DemandRate(usualDemandWindowMilliseconds),
                share: undefined,
                deficit: 0,
            };
            account.customers.set(customer, ofCustomer);
        }
        ofCustomer.asked += asked;
        ofCustomer.taken += taken;
    }

    /** Closes the round of a service; returns the limits of its customers. */
    private updateService(
        service: string,
        account: ServiceAccount,
        milliseconds: number,
    ): ReadonlyMap<string, Limit> {
        const room = this.options.roomUse(service);
        const wasShort = account.short;
        const use = room === undefined ? 0 : room.used / room.capacity;
        account.short = use >= shortRoomUse || (wasShort && use >= amplyFreeRoomUse);
        const flow = this.updateFlow(account, room, milliseconds);
        this.updateCustomers(account, milliseconds);
        if (account.customers.size === 0) {
            this.services.delete(service);
        }
        const known = monotonicNow() - this.ledSince >= maximumAgeMilliseconds;
        const limits = account.short && known ? this.divide(account, flow) : new Map<string, Limit>();
        this.report(service, account, { use, flow, limits, wasShort });
        return limits;
    }

    /** Tokens that may begin in a second: those that end, and what fills or clears the room up to its target within a stream. */
    private updateFlow(account: ServiceAccount, room: RoomUse | undefined, milliseconds: number): number {
        let taken = 0;
        account.customers.forEach(customer => taken += customer.taken);
        account.takenRate.add(taken, milliseconds);
        if (room === undefined) {
            account.averageUse = undefined;
            return Infinity;
        }
        const kept = Math.exp(-milliseconds / demandWindowMilliseconds);
        account.averageUse = room.used + ((account.averageUse ?? room.used) - room.used) * kept;
        const perSecond = millisecondsPerSecond / demandWindowMilliseconds;
        const growth = (room.used - account.averageUse) * perSecond;
        const taking = account.takenRate.perSecond;
        const toTarget = (targetRoomUse * room.capacity - room.used) * perSecond;
        return Math.max(minimumFlow * taking, Math.max(0, taking - growth) + toTarget);
    }

    private updateCustomers(account: ServiceAccount, milliseconds: number): void {
        for (const [name, customer] of account.customers) {
            const { askedRate, usualRate, share } = customer;
            askedRate.add(customer.asked, milliseconds);
            if (!account.short) {
                usualRate.add(customer.asked, milliseconds);
            }
            if (share === undefined || !account.short || askedRate.perSecond < share) {
                customer.deficit = 0;
            }
            else {
                const missed = share * milliseconds / millisecondsPerSecond - customer.taken;
                const largest = share * catchUpMilliseconds / millisecondsPerSecond;
                customer.deficit = Math.min(largest, Math.max(0, customer.deficit + missed));
            }
            customer.asked = 0;
            customer.taken = 0;
            customer.share = undefined;
            if (askedRate.perSecond < negligibleRate && usualRate.perSecond < negligibleRate) {
                account.customers.delete(name);
                this.customerCount--;
            }
        }
    }

    private divide(account: ServiceAccount, flow: number): ReadonlyMap<string, Limit> {
        const asking = [...account.customers].filter(([, { askedRate }]) => askedRate.perSecond > 0);
        const usual = asking.map(([, { usualRate }]) => usualRate.perSecond);
        const mean = usual.reduce((sum, rate) => sum + rate, 0) / Math.max(1, usual.length);
        const weights = usual.map(rate => mean === 0 ? 1 : Math.max(rate, minimumWeight * mean));
        const demands = asking.map(([, { askedRate }], index) => ({
            demand: askedRate.perSecond,
            weight: weights[index]!,
        }));
        const fair = this.options.policy.divide(demands, flow);
        const catchingUp = asking.map(([, { deficit }], index) => {
            const largest = fair[index]! * catchUpMilliseconds / millisecondsPerSecond;
            return {
                ...demands[index]!,
                weight: weights[index]! * (1 + Math.min(1, largest === 0 ? 0 : deficit / largest)),
            };
        });
        const shares = this.options.policy.divide(catchingUp, flow);
        const limits = new Map<string, Limit>();
        asking.forEach(([name, customer], index) => {
            const { demand } = demands[index]!;
            const part = Math.round(100 * shares[index]! / demand) / 100;
            customer.share = fair[index]!;
            if (part < maximumPublishedPart) {
                limits.set(name, { part, excess: demand - shares[index]! });
            }
        });
        return limits;
    }

    private report(
        service: string,
        account: ServiceAccount,
        { use, flow, limits, wasShort }: {
            use: number;
            flow: number;
            limits: ReadonlyMap<string, Limit>;
            wasShort: boolean;
        },
    ): void {
        const { metrics, logger } = this.options;
        metrics.gauge("pomelostall.gateway.room_use", use, { service });
        metrics.gauge("pomelostall.gateway.limited_customers", limits.size, { service });
        const due = monotonicNow() - account.loggedAt >= logIntervalMilliseconds;
        if (account.short !== wasShort || (limits.size > 0 && due)) {
            account.loggedAt = monotonicNow();
            logger.decision({
                kind: "limit-customers",
                chosen: service,
                over: [],
                reason: account.short ? "room is short" : "room is free",
                configurationVersion: this.options.configurationVersion(),
                fields: {
                    use: Math.round(100 * use) / 100,
                    tokensPerSecond: Math.round(flow),
                    customers: account.customers.size,
                    limits: Object.fromEntries(
                        [...limits].slice(0, maximumLimitedCustomers).map(([name, { part }]) => [
                            name === withoutCustomer ? "(none)" : name,
                            part,
                        ]),
                    ),
                },
            });
        }
    }
}
