/** Learns, for each route, which fraction of the requested tokens is used and how long a token takes. */
import { LRUCache } from "lru-cache";

const maximumRoutes = 10_000;
/** Weight of the newest request in the exponential moving averages. */
const smoothingFactor = 0.05;
const minimumUsageRatio = 0.05;

interface RouteAverages {
    usageRatio: number;
    millisecondsPerToken: number;
}

export class WorkEstimates {
    private readonly routes = new LRUCache<string, RouteAverages>({ max: maximumRoutes });

    /** Estimates the tokens that a request will use, given their upper bound. */
    estimateTokens(route: string, tokenBound: number): number {
        const usageRatio = this.routes.get(route)?.usageRatio ?? 1;
        return Math.max(1, Math.ceil(tokenBound * usageRatio));
    }

    /** Estimates the milliseconds from admission to completion; 0 while the route has no completed request. */
    estimateRunMilliseconds(route: string, tokens: number): number {
        return tokens * (this.routes.get(route)?.millisecondsPerToken ?? 0);
    }

    record(route: string, tokenBound: number, usedTokens: number, milliseconds: number): void {
        const usageRatio = Math.min(1, Math.max(minimumUsageRatio, usedTokens / tokenBound));
        const millisecondsPerToken = milliseconds / Math.max(1, usedTokens);
        const averages = this.routes.get(route);
        if (averages === undefined) {
            this.routes.set(route, { usageRatio, millisecondsPerToken });
            return;
        }
        averages.usageRatio += (usageRatio - averages.usageRatio) * smoothingFactor;
        averages.millisecondsPerToken += (millisecondsPerToken - averages.millisecondsPerToken) * smoothingFactor;
    }
}
