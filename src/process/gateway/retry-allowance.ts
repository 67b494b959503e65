/**
 * This router's share of the retry budget that the operator sets for each service. The budget of a sliding window is a
 * ratio of the requests plus a fixed number of retries. The fixed number is divided by the number of routers, so that
 * routers need no coordination to stay within the budget.
 */
import { monotonicNow } from "../../common/clock.js";

export interface WindowedRetryBudgetOptions {
    /** Retries allowed per request. */
    readonly ratio: number;
    readonly windowMilliseconds: number;
    /** Fixed number of retries per window in addition to the ratio, for all routers together. */
    readonly extra: number;
    /** Number of routers that share the fixed number of retries. */
    routerCount(): number;
}

/**
 * Share of the budget that is used. The rest is a margin, since the operators count in sliding windows and by the time
 * of arrival, which is later than the time of sending.
 */
const usableShare = 0.8;

interface ServiceWindow {
    /** Monotonic times in milliseconds, in ascending order. */
    readonly requests: number[];
    readonly retries: number[];
}

export class WindowedRetryBudget {
    private readonly windows = new Map<string, ServiceWindow>();

    constructor(private readonly options: WindowedRetryBudgetOptions) {}

    recordRequest(service: string): void {
        this.window(service).requests.push(monotonicNow());
    }

    /** Whether the budget allows another retry for the service now. */
    allows(service: string): boolean {
        const window = this.window(service);
        const extra = this.options.extra / Math.max(1, this.options.routerCount());
        return window.retries.length + 1 <= usableShare * (this.options.ratio * window.requests.length + extra);
    }

    /** Consumes one retry of the budget; false if none is left. */
    tryConsume(service: string): boolean {
        if (!this.allows(service)) {
            return false;
        }
        this.window(service).retries.push(monotonicNow());
        return true;
    }

    private window(service: string): ServiceWindow {
        let window = this.windows.get(service);
        if (window === undefined) {
            window = { requests: [], retries: [] };
            this.windows.set(service, window);
        }
        removeBefore(window.requests, monotonicNow() - this.options.windowMilliseconds);
        removeBefore(window.retries, monotonicNow() - this.options.windowMilliseconds);
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
