/**
 * Excludes backend servers from new requests for a time after requests to them failed or were refused, independently of
 * the registry. The time doubles with each consecutive failure or refusal; a success ends the exclusion and resets both
 * counts. An excluded server may be used if there is no other. A server that has itself requested a pause is paused: it
 * gets no new requests in that time, whatever else happens.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";

/** About the time after which the registry removes a crashed server: three missed heartbeats. */
const initialFailureBackoffMilliseconds = 1_000;
const maximumBackoffMilliseconds = 8_000;
/** Shorter than after a failure: a server at capacity accepts requests again as soon as some of its requests end. */
const initialRefusalBackoffMilliseconds = 300;
/** A failure this long after the end of the last exclusion counts as the first. */
const failureResetMilliseconds = 10_000;

interface Exclusion {
    /** Monotonic time at which the exclusion ends. */
    readonly until: number;
    /** Consecutive failures, without those that arrived during an exclusion. */
    readonly failures: number;
    /** Refusals since the last success, without those that arrived during an exclusion. */
    readonly refusals: number;
}

export class ServerExclusions {
    private readonly exclusions = new Map<string, Exclusion>();
    /** Monotonic times at which requested pauses end, by server. */
    private readonly pauseEnds = new Map<string, number>();

    constructor(private readonly logger: Logger) {}

    /** Whether the server is excluded from new requests now. */
    isExcluded(serverId: string): boolean {
        return (this.exclusions.get(serverId)?.until ?? 0) > monotonicNow();
    }

    /** Whether the server has requested that no new requests are sent to it now. */
    isPaused(serverId: string): boolean {
        return this.pauseMilliseconds(serverId) > 0;
    }

    /** Time until the end of the pause that the server has requested; 0 if it is not paused. */
    pauseMilliseconds(serverId: string): number {
        const end = this.pauseEnds.get(serverId);
        if (end === undefined) {
            return 0;
        }
        const milliseconds = end - monotonicNow();
        if (milliseconds <= 0) {
            this.pauseEnds.delete(serverId);
        }
        return Math.max(0, milliseconds);
    }

    /** Of several pauses, the latest end applies; a success does not end a pause. */
    recordRequestedPause(serverId: string, milliseconds: number): void {
        if (milliseconds <= this.pauseMilliseconds(serverId)) {
            return;
        }
        this.pauseEnds.set(serverId, monotonicNow() + milliseconds);
        this.logger.info("backend server requested a pause", { server: serverId, milliseconds });
    }

    recordFailure(serverId: string, reason: string): void {
        const now = monotonicNow();
        const before = this.exclusions.get(serverId);
        if (before !== undefined && before.until > now) {
            return;
        }
        const failures = before !== undefined && now - before.until < failureResetMilliseconds
            ? before.failures + 1
            : 1;
        const backoff = Math.min(maximumBackoffMilliseconds, initialFailureBackoffMilliseconds * 2 ** (failures - 1));
        this.exclusions.set(serverId, { until: now + backoff, failures, refusals: before?.refusals ?? 0 });
        this.logger.warn("backend server failed; excluded from new requests", {
            server: serverId,
            reason,
            failures,
            milliseconds: backoff,
        });
    }

    /**
     * Records that the server refused a request. A server at capacity completes other requests meanwhile, and their
     * success resets its refusals. A server that is shutting down, which the registry may not show yet, completes none
     * and is excluded for longer each time.
     */
    recordRefusal(serverId: string, reason: string): void {
        const now = monotonicNow();
        const before = this.exclusions.get(serverId);
        if (before !== undefined && before.until > now) {
            return;
        }
        const refusals = (before?.refusals ?? 0) + 1;
        const backoff = Math.min(maximumBackoffMilliseconds, initialRefusalBackoffMilliseconds * 2 ** (refusals - 1));
        this.exclusions.set(serverId, { until: now + backoff, failures: before?.failures ?? 0, refusals });
        this.logger.info("backend server refused a request; excluded from new requests", {
            server: serverId,
            reason,
            refusals,
            milliseconds: backoff,
        });
    }

    recordSuccess(serverId: string): void {
        if (this.exclusions.delete(serverId)) {
            this.logger.info("backend server available again after a successful request", { server: serverId });
        }
    }
}
