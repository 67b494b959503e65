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
const firstRefusalPauseMilliseconds = 300;
/** A failure this long after the last pause counts as the first. */
const forgetMilliseconds = 10_000;

interface Suspicion {
    readonly until: number;
    readonly failures: number;
    /** Refusals since the last success, but for those that came during a pause. */
    readonly refusals: number;
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
        this.suspicions.set(serverId, { until: now + pause, failures, refusals: before?.refusals ?? 0 });
        this.logger.warn("backend server is passed over", { server: serverId, reason, failures, milliseconds: pause });
    }

    /**
     * The server refused a request. One that is full serves others meanwhile, whose success clears its refusals; one that
     * leaves unnoticed serves none, and is passed over for longer each time.
     */
    noteRefusal(serverId: string, reason: string): void {
        const now = monotonicNow();
        const before = this.suspicions.get(serverId);
        if (before !== undefined && before.until > now) {
            return;
        }
        const refusals = (before?.refusals ?? 0) + 1;
        const pause = Math.min(maximumPauseMilliseconds, firstRefusalPauseMilliseconds * 2 ** (refusals - 1));
        this.suspicions.set(serverId, { until: now + pause, failures: before?.failures ?? 0, refusals });
        this.logger.info("backend server refuses requests", {
            server: serverId,
            reason,
            refusals,
            milliseconds: pause,
        });
    }

    noteSuccess(serverId: string): void {
        if (this.suspicions.delete(serverId)) {
            this.logger.info("backend server is used again", { server: serverId });
        }
    }
}
