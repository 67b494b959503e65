/**
 * This router's part of the retry budget that the operator sets for each service: a ratio of the requests plus a fixed
 * number, in a sliding window, for all routers together. A router's own share is certain: no other router uses it. While
 * the placement leader's notices arrive, a part of the own share applies, and the leader grants the rest of all shares by
 * need. A router that has had no grant for a whole window has its full share, since the leader then counts on that.
 *
 * What a former process of this router has used is not known, so its successor uses little of the fixed number for a
 * window, and nothing if the former process was such a successor itself. The number of routers must not be assumed either: without it, only the ratio of the router's own requests is left.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RandomSource } from "../../common/random.js";
import type { RetryGrants, RetryUsageReport } from "../../domain/gateway/placement-notice.js";
import { grantLifetimeMilliseconds, reservedShare, successorShare, usableBudgetShare } from "./retry-budget-shares.js";
import { FormerProcess } from "./router-directory.js";

/** Share of the budget that is kept for retries of requests that have no other way. */
const savedShare = 0.5;

export interface WindowedRetryBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    readonly windowMilliseconds: number;
    /** Fixed number of retries per window in addition to the ratio, for all routers together. */
    readonly extra: number;
    /**
     * Number of routers that share the fixed number of retries; undefined while it is not known, or while the others may no
     * longer count this router.
     */
    routerCount(): number | undefined;
    /** What is known of the process of this router that may have run just before this one. */
    formerProcess(): FormerProcess;
    readonly random: RandomSource;
}

interface ServiceWindow {
    /** Monotonic times in milliseconds, in ascending order. */
    readonly requests: number[];
    /** Retries of the router's own share. */
    readonly ownRetries: number[];
    readonly grantedRetries: number[];
}

export class WindowedRetryBudget {
    private readonly startedAt = monotonicNow();
    private readonly windows = new Map<string, ServiceWindow>();
    /** Whole retries left of the last notice's grants, by service. */
    private readonly granted = new Map<string, number>();
    private grantsEndAt = -Infinity;

    constructor(private readonly options: WindowedRetryBudgetOptions) {}

    recordRequest(service: string): void {
        this.window(service).requests.push(monotonicNow());
    }

    /** Whether the budget allows another retry for the service now. */
    allows(service: string): boolean {
        return this.hasOwnShareLeft(this.window(service)) || this.hasGrantLeft(service);
    }

    /**
     * Whether at least half of this router's full share is left, granted or not. Retries that only save time leave the other
     * half to requests that have no other way.
     */
    hasReserve(service: string): boolean {
        const { requests, ownRetries, grantedRetries } = this.window(service);
        const used = ownRetries.length + grantedRetries.length;
        return used + 1 <= savedShare * (this.options.ratio * requests.length + this.ownExtra);
    }

    /** Consumes one retry of the budget; false if none is left. */
    tryConsume(service: string): boolean {
        const window = this.window(service);
        if (this.hasOwnShareLeft(window)) {
            window.ownRetries.push(monotonicNow());
            return true;
        }
        if (this.hasGrantLeft(service)) {
            window.grantedRetries.push(monotonicNow());
            this.granted.set(service, this.granted.get(service)! - 1);
            return true;
        }
        return false;
    }

    /** Replaces the grants of earlier notices; a fraction is the chance of one more retry. */
    applyGrants(grants: RetryGrants): void {
        this.granted.clear();
        if (grants.size === 0) {
            return;
        }
        grants.forEach((retries, service) =>
            this.granted.set(service, Math.floor(retries + this.options.random.next()))
        );
        this.grantsEndAt = monotonicNow() + grantLifetimeMilliseconds;
    }

    /** What this router has used, for the placement leader. */
    get report(): RetryUsageReport {
        const usages = new Map([...this.windows.keys()].map(service => {
            const { requests, ownRetries, grantedRetries } = this.window(service);
            const retries = ownRetries.length + grantedRetries.length;
            return [service, { requests: requests.length, retries, granted: grantedRetries.length }];
        }));
        return { usages, recordedMilliseconds: this.recordedMilliseconds };
    }

    private hasOwnShareLeft({ requests, ownRetries }: ServiceWindow): boolean {
        const { ratio } = this.options;
        const share = this.hadGrantsInWindow ? reservedShare : 1;
        return ownRetries.length + 1 <= usableBudgetShare * share * (ratio * requests.length + this.ownExtra);
    }

    private hasGrantLeft(service: string): boolean {
        return monotonicNow() < this.grantsEndAt && (this.granted.get(service) ?? 0) >= 1;
    }

    private get hadGrantsInWindow(): boolean {
        return monotonicNow() < this.grantsEndAt + this.options.windowMilliseconds;
    }

    /** This router's part of the fixed number of retries. */
    private get ownExtra(): number {
        const { extra, windowMilliseconds } = this.options;
        const routers = this.options.routerCount();
        const isComplete = this.recordedMilliseconds >= windowMilliseconds;
        const firstShare = this.options.formerProcess() === FormerProcess.settled ? successorShare : 0;
        return routers === undefined ? 0 : (isComplete ? 1 : firstShare) * extra / Math.max(1, routers);
    }

    /** Time for which all retries of this router are known; a router without a former process has used none before. */
    private get recordedMilliseconds(): number {
        const age = monotonicNow() - this.startedAt;
        return this.options.formerProcess() === FormerProcess.none ? age + this.options.windowMilliseconds : age;
    }

    private window(service: string): ServiceWindow {
        let window = this.windows.get(service);
        if (window === undefined) {
            window = { requests: [], ownRetries: [], grantedRetries: [] };
            this.windows.set(service, window);
        }
        const limit = monotonicNow() - this.options.windowMilliseconds;
        removeBefore(window.requests, limit);
        removeBefore(window.ownRetries, limit);
        removeBefore(window.grantedRetries, limit);
        return window;
    }
}

function removeBefore(times: number[], limit: number): void {
    let count = 0;
    while (count < times.length && times[count]! < limit) {
        count++;
    }
    times.splice(0, count);
}
