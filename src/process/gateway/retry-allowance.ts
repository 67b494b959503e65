/**
 * This router's share of the repeated sends that the operator allows for a service in a sliding window. The extra that
 * does not depend on traffic is divided over all routers, so that none has to ask another.
 */
import { monotonicNow } from "../../common/clock.js";

export interface RetryAllowanceOptions {
    /** Repeated sends for each request. */
    readonly ratio: number;
    readonly windowMilliseconds: number;
    /** Repeated sends beside those, for all routers together. */
    readonly extra: number;
    /** Routers that share the extra. */
    routerCount(): number;
}

/** Part of the allowance that is used, since the users count sliding windows and later arrivals. */
const safetyShare = 0.8;

interface ServiceWindow {
    readonly requests: number[];
    readonly retries: number[];
}

export class RetryAllowance {
    private readonly windows = new Map<string, ServiceWindow>();

    constructor(private readonly options: RetryAllowanceOptions) {}

    noteRequest(service: string): void {
        this.window(service).requests.push(monotonicNow());
    }

    /** Whether another send for the service is allowed now. */
    allows(service: string): boolean {
        const window = this.window(service);
        const extra = this.options.extra / Math.max(1, this.options.routerCount());
        return window.retries.length + 1 <= safetyShare * (this.options.ratio * window.requests.length + extra);
    }

    /** Whether another send for the service is allowed; if so, it is counted. */
    take(service: string): boolean {
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
        dropBefore(window.requests, monotonicNow() - this.options.windowMilliseconds);
        dropBefore(window.retries, monotonicNow() - this.options.windowMilliseconds);
        return window;
    }
}

function dropBefore(times: number[], limit: number): void {
    let count = 0;
    while (count < times.length && times[count]! < limit) {
        count++;
    }
    times.splice(0, count);
}
