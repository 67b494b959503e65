/**
 * Shares the fleet's retry budget by need. A router's own share of the budget is a few retries, which a single loss of
 * engines uses up on the routers that it hits while the others need none. The placement leader adds up what all routers
 * have used, keeps back what they may use without it, and grants each of them an equal part of what is left until the next
 * notices. Answers the load pattern of a failure that hits the requests of some of many routers.
 *
 * What is not known counts as used: the share of a router that does not answer, grants that were sent to it, and what a
 * router may have been granted by an earlier leader, or used in a former process, within the last window.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RetryGrants, RetryUsageReport } from "../../domain/gateway/placement-notice.js";
import { noticeIntervalMilliseconds } from "./fleet-load.js";
import { grantLifetimeMilliseconds, reservedShare, usableBudgetShare } from "./retry-budget-shares.js";

export interface FleetRetryBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Fixed number of retries per window in addition to the ratio, for all routers together. */
    readonly extra: number;
    readonly windowMilliseconds: number;
    /** Number of routers that share the budget; undefined while it is not known. */
    routerCount(): number | undefined;
    /** What this router itself has used. */
    ownReport(): RetryUsageReport;
}

/** A report is two notices old when the grants that it leads to end, so each notice grants half of what is left. */
const noticesUntilReported = 2;
/** Four missed notices; a router that has not answered for as long counts as one that may use its full share. */
const maximumReportAgeMilliseconds = 2_000;

interface Account {
    report: RetryUsageReport;
    reportedAt: number;
    /** Whether the router has answered the last notice. */
    answered: boolean;
    /** When the last notice with grants was sent that it has answered. */
    grantedAt: number;
    /** Grants that were sent since the notice before the last report, oldest first. */
    grants: { readonly sentAt: number; readonly grants: RetryGrants; }[];
}

interface ActiveReport extends RetryUsageReport {
    /** Part of its own share that the router may use. */
    readonly ownShare: number;
}

export class FleetRetryBudget {
    /** Of the other routers, by address. */
    private readonly accounts = new Map<string, Account>();
    /** What former processes of routers may still have used in the window. */
    private former: Account[] = [];
    private ledSince = -Infinity;
    private computedAt = -Infinity;
    private ownGrantedAt = -Infinity;

    constructor(private readonly options: FleetRetryBudgetOptions) {}

    /** Records what a router reports in its answer to a notice. */
    recordReport(router: string, report: RetryUsageReport): void {
        const now = monotonicNow();
        const account = this.accounts.get(router);
        if (account !== undefined && !isNewProcess(account, report)) {
            const grants = account.grants.slice(-1);
            const grantedAt = grants[0]?.sentAt ?? account.grantedAt;
            Object.assign(account, { report, reportedAt: now, answered: true, grants, grantedAt });
            return;
        }
        this.former.push(...(account === undefined ? [] : [account]));
        this.accounts.set(router, {
            report,
            reportedAt: now,
            answered: true,
            grantedAt: -Infinity,
            grants: [],
        });
    }

    /**
     * Retries that each router may make until the next notice, for each service with recent requests. Called for each round
     * of notices while this router leads; after a pause, this router may have ceased to lead meanwhile.
     */
    computeGrants(): RetryGrants {
        const now = monotonicNow();
        if (now - this.computedAt > maximumReportAgeMilliseconds) {
            this.accounts.clear();
            this.former = [];
            this.ledSince = now;
        }
        this.computedAt = now;
        this.removeExpired();
        const routers = this.options.routerCount();
        if (routers === undefined) {
            return new Map();
        }
        const reports = this.activeReports;
        const services = [...new Set(reports.flatMap(({ usages }) => [...usages.keys()]))];
        // Grants reduce what the routers may use by themselves. They begin only where something is gained by that.
        const reserving = reports.map(report => ({ ...report, ownShare: reservedShare }));
        if (!services.some(service => this.unreservedRetries(service, routers, reserving) > 0)) {
            return new Map();
        }
        this.ownGrantedAt = now;
        return new Map(services.map(service => {
            const left = Math.max(0, this.unreservedRetries(service, routers, reports));
            return [service, left / (routers * noticesUntilReported)];
        }));
    }

    /** The grants for one router's notice; empty unless the router has answered the last one. */
    grantsFor(router: string, grants: RetryGrants): RetryGrants {
        const account = this.accounts.get(router);
        if (account?.answered !== true || grants.size === 0) {
            return new Map();
        }
        account.answered = false;
        account.grants.push({ sentAt: monotonicNow(), grants });
        return grants;
    }

    /** Reports of this router and of those that answer. */
    private get activeReports(): ActiveReport[] {
        const active = [...this.accounts.values()].filter(account => !isSilent(account))
            .map(({ report, grantedAt }) => ({ ...report, ownShare: this.ownShare(grantedAt) }));
        return [{ ...this.options.ownReport(), ownShare: this.ownShare(this.ownGrantedAt) }, ...active];
    }

    /** Part of its own share that a router uses whose last grants were sent at the given time. */
    private ownShare(grantedAt: number): number {
        return monotonicNow() - grantedAt < this.options.windowMilliseconds ? reservedShare : 1;
    }

    /** What is left of the service's budget after all that is used and all that routers may use without grants. */
    private unreservedRetries(service: string, routers: number, reports: readonly ActiveReport[]): number {
        const { ratio, extra, windowMilliseconds } = this.options;
        const requests = sum(reports.map(({ usages }) => usages.get(service)?.requests ?? 0));
        const budget = usableBudgetShare * (ratio * requests + extra);
        const fullShare = usableBudgetShare * extra / routers;
        const usedByActive = reports.map(({ usages, ownShare }) => {
            const usage = usages.get(service) ?? unusedBudget;
            const reserved = ownShare * (usableBudgetShare * ratio * usage.requests + fullShare);
            return usage.granted + Math.max(usage.retries - usage.granted, reserved);
        });
        const silent = [...[...this.accounts.values()].filter(isSilent), ...this.former];
        const grantsOfSilent = silent.map(account => mayHaveBeenGranted(account, service));
        const shareOfSilent = (Math.max(0, routers - reports.length) + this.former.length) * fullShare;
        const grantsOfWindow = (1 - reservedShare) * budget / (routers * noticesUntilReported)
            * (windowMilliseconds / noticeIntervalMilliseconds);
        const usedByUnknown = this.countUnknown(reports, routers) * (grantsOfWindow + fullShare);
        return budget - sum(usedByActive) - sum(grantsOfSilent) - shareOfSilent - usedByUnknown;
    }

    /** Number of routers of which it is not known what they have used in the whole window, beside their present shares. */
    private countUnknown(reports: readonly RetryUsageReport[], routers: number): number {
        const { windowMilliseconds } = this.options;
        if (monotonicNow() - this.ledSince >= windowMilliseconds + grantLifetimeMilliseconds) {
            return 0;
        }
        const complete =
            reports.filter(({ recordedMilliseconds }) => recordedMilliseconds >= windowMilliseconds).length;
        return Math.max(0, routers - complete);
    }

    private removeExpired(): void {
        const limit = monotonicNow() - this.options.windowMilliseconds - grantLifetimeMilliseconds;
        for (const [router, account] of this.accounts) {
            account.grants = account.grants.filter(({ sentAt }) => sentAt > limit);
            if (account.reportedAt < limit) {
                this.accounts.delete(router);
            }
        }
        this.former = this.former.filter(({ reportedAt }) => reportedAt > limit);
    }
}

const unusedBudget = { requests: 0, retries: 0, granted: 0 };

function isSilent({ reportedAt }: Account): boolean {
    return monotonicNow() - reportedAt > maximumReportAgeMilliseconds;
}

/** Whether the report comes from another process than the account's last one. */
function isNewProcess({ report: last, reportedAt }: Account, { recordedMilliseconds }: RetryUsageReport): boolean {
    return recordedMilliseconds < Math.max(last.recordedMilliseconds, monotonicNow() - reportedAt);
}

/** The most that a router may have used of grants in the window, if all of those since its last report have arrived. */
function mayHaveBeenGranted({ report, grants }: Account, service: string): number {
    return (report.usages.get(service)?.granted ?? 0)
        + sum(grants.map(({ grants: ofNotice }) => ofNotice.get(service) ?? 0));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
