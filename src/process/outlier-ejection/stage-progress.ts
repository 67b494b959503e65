/**
 * When a token last came through each backend server, over all answers of this router: when one answer stalls, servers
 * that go on serving others are not at fault.
 */
import { LRUCache } from "lru-cache";

const maximumServers = 10_000;
/** Weights of the newest gap in its average and deviation, as TCP takes them for round trips. */
const averageShare = 1 / 8;
const deviationShare = 1 / 4;
const deviationsAllowed = 4;

/** The progress of one backend server. */
export class ServerProgress {
    /** Monotonic milliseconds. */
    lastTokenAt = -Infinity;
    private averageGap = 0;
    private gapDeviation = 0;

    /** Notes the time between two tokens of one answer. */
    recordGap(milliseconds: number): void {
        const error = milliseconds - this.averageGap;
        this.averageGap += error * averageShare;
        this.gapDeviation += (Math.abs(error) - this.gapDeviation) * deviationShare;
    }

    /** The longest time between two tokens that is usual at present, in milliseconds. */
    get expectedMaximumGapMilliseconds(): number {
        return this.averageGap + deviationsAllowed * this.gapDeviation;
    }
}

export class ServerProgressTracker {
    private readonly servers = new LRUCache<string, ServerProgress>({ max: maximumServers });

    /** Found once for each attempt, so that a token costs one assignment a stage. */
    forServer(backendServer: string): ServerProgress {
        let progress = this.servers.get(backendServer);
        if (progress === undefined) {
            progress = new ServerProgress();
            this.servers.set(backendServer, progress);
        }
        return progress;
    }
}
