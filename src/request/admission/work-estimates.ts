/** Learns, for each route, how much of the estimated tokens is used and how long work takes. */
import { LRUCache } from "lru-cache";

const maximumRoutes = 10_000;
/** Weight of the newest request in the moving averages. */
const newestShare = 0.05;
const minimumUsedShare = 0.05;

interface RouteAverages {
    usedShare: number;
    millisecondsPerToken: number;
}

export class WorkEstimates {
    private readonly routes = new LRUCache<string, RouteAverages>({ max: maximumRoutes });

    /** Tokens that the request will likely use, given the most that it could. */
    tokens(route: string, atMost: number): number {
        const usedShare = this.routes.get(route)?.usedShare ?? 1;
        return Math.max(1, Math.ceil(atMost * usedShare));
    }

    /** Milliseconds that the tokens take once admitted; 0 while nothing is known. */
    runMilliseconds(route: string, tokens: number): number {
        return tokens * (this.routes.get(route)?.millisecondsPerToken ?? 0);
    }

    record(route: string, atMost: number, used: number, milliseconds: number): void {
        const usedShare = Math.min(1, Math.max(minimumUsedShare, used / atMost));
        const millisecondsPerToken = milliseconds / Math.max(1, used);
        const averages = this.routes.get(route);
        if (averages === undefined) {
            this.routes.set(route, { usedShare, millisecondsPerToken });
            return;
        }
        averages.usedShare += (usedShare - averages.usedShare) * newestShare;
        averages.millisecondsPerToken += (millisecondsPerToken - averages.millisecondsPerToken) * newestShare;
    }
}
