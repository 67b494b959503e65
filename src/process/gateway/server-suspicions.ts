/**
 * Backend servers that requests have shown to be unusable for now, whatever the registry says. Each failure in a row
 * doubles the time for which a server is passed over; a success clears it.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";

/** About the time after which the registry has dropped a server that died: three missed heartbeats. */
const firstPauseMilliseconds = 1_000;
const maximumPauseMilliseconds = 8_000;
/** A server that refuses for want of room has some again when some of its requests end. */
const refusalPauseMilliseconds = 300;
/** A failure this long after the last pause counts as the first. */
const forgetMilliseconds = 10_000;

interface Suspicion {
    readonly until: number;
    readonly failures: number;
}

export class ServerSuspicions {
    private readonly suspicions = new Map<string, Suspicion>();

    constructor(private readonly logger: Logger) {}

    isSuspected(serverId: string): boolean {
        return (this.suspicions.get(serverId)?.until ?? 0) > monotonicNow();
    }

    noteFailure(serverId: string, reason: string): void {
        const now = monotonicNow();
        const before = this.suspicions.get(serverId);
        if (before !== undefined && before.until > now) {
            return;
        }
        const failures = before !== undefined && now - before.until < forgetMilliseconds ? before.failures + 1 : 1;
        const pause = Math.min(maximumPauseMilliseconds, firstPauseMilliseconds * 2 ** (failures - 1));
        this.suspicions.set(serverId, { until: now + pause, failures });
        this.logger.warn("backend server is passed over", { server: serverId, reason, failures, milliseconds: pause });
    }

    /** The server refused a request for want of room, which says nothing about the next ones a little later. */
    noteRefusal(serverId: string, reason: string): void {
        const before = this.suspicions.get(serverId);
        const until = monotonicNow() + refusalPauseMilliseconds;
        if (before === undefined || before.until < until) {
            this.suspicions.set(serverId, { until, failures: before?.failures ?? 0 });
            this.logger.info("backend server has no room", {
                server: serverId,
                reason,
                milliseconds: refusalPauseMilliseconds,
            });
        }
    }

    noteSuccess(serverId: string): void {
        if (this.suspicions.delete(serverId)) {
            this.logger.info("backend server is used again", { server: serverId });
        }
    }
}
