/**
 * Tracks when each backend server last contributed to a token, over all answers of this router: when one answer stalls,
 * servers that still make progress on other answers are not at fault.
 */
import { LRUCache } from "lru-cache";

const maximumServers = 10_000;
/** Gains of the moving average and deviation and multiplier of the deviation, as in TCP's RTT estimate (RFC 6298). */
const averageGain = 1 / 8;
const deviationGain = 1 / 4;
const deviationMultiplier = 4;

export class ServerProgress {
    /** Monotonic milliseconds; -Infinity before the first token. */
    lastTokenAt = -Infinity;
    private averageGap = 0;
    private gapDeviation = 0;

    /** Adds the time between two successive tokens of one answer to the moving average and deviation. */
    recordGap(milliseconds: number): void {
        const error = milliseconds - this.averageGap;
        this.averageGap += error * averageGain;
        this.gapDeviation += (Math.abs(error) - this.gapDeviation) * deviationGain;
    }

    /** Upper estimate of the current time between two tokens of an answer, in milliseconds. */
    get expectedMaximumGapMilliseconds(): number {
        return this.averageGap + deviationMultiplier * this.gapDeviation;
    }
}

export class ServerProgressTracker {
    private readonly progressByServer = new LRUCache<string, ServerProgress>({ max: maximumServers });

    /**
     * Returns the progress of the backend server, creating it when needed. Callers look it up once for each attempt, so
     * that each token costs only one assignment per stage.
     */
    forServer(backendServer: string): ServerProgress {
        let progress = this.progressByServer.get(backendServer);
        if (progress === undefined) {
            progress = new ServerProgress();
            this.progressByServer.set(backendServer, progress);
        }
        return progress;
    }
}
