/**
 * Excludes backend servers from new requests for a time after requests to them failed or were refused, independently of
 * the registry. The time doubles with each consecutive failure or refusal; a success ends the exclusion and resets both
 * counts. An excluded server may be used if there is no other. A server that has itself requested a pause is paused: it
 * gets no new requests in that time, whatever else happens. All of it concerns one start of a server.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { KnownPause } from "../../domain/gateway/fleet-knowledge.js";
import { isSameStart, type ServerStart } from "../../domain/gateway/server-entry.js";

/** About the time after which the registry removes a crashed server: three missed heartbeats. */
const initialFailureBackoffMilliseconds = 1_000;
const maximumBackoffMilliseconds = 8_000;
/** Shorter than after a failure: a server at capacity accepts requests again as soon as some of its requests end. */
const initialRefusalBackoffMilliseconds = 300;
/** A failure this long after the end of the last exclusion counts as the first. */
const failureResetMilliseconds = 10_000;

interface Exclusion {
    readonly start: ServerStart;
    /** Monotonic time at which the exclusion ends. */
    readonly until: number;
    /** Consecutive failures, without those that arrived during an exclusion. */
    readonly failures: number;
    /** Refusals since the last success, without those that arrived during an exclusion. */
    readonly refusals: number;
}

interface RequestedPause {
    readonly start: ServerStart;
    /** Monotonic time in milliseconds. */
    readonly end: number;
}

export class ServerExclusions {
    /** Of the latest start of each server, by its ID. */
    private readonly exclusions = new Map<string, Exclusion>();
    private readonly pauses = new Map<string, RequestedPause>();

    constructor(private readonly logger: Logger) {}

    /** Whether the server is excluded from new requests now. */
    isExcluded(server: ServerStart): boolean {
        return (findOfStart(this.exclusions, server)?.until ?? 0) > monotonicNow();
    }

    /** Whether the server has requested that no new requests are sent to it now. */
    isPaused(server: ServerStart): boolean {
        return this.pauseMilliseconds(server) > 0;
    }

    /** Time until the end of the pause that the server has requested; 0 if it is not paused. */
    pauseMilliseconds(server: ServerStart): number {
        const pause = findOfStart(this.pauses, server);
        if (pause === undefined) {
            return 0;
        }
        const milliseconds = pause.end - monotonicNow();
        if (milliseconds <= 0) {
            this.pauses.delete(server.id);
        }
        return Math.max(0, milliseconds);
    }

    /** Pauses that have not ended. */
    get knownPauses(): KnownPause[] {
        const now = monotonicNow();
        return [...this.pauses.values()]
            .map(({ start: { id, bornAt }, end }) => ({ id, bornAt, milliseconds: end - now }))
            .filter(({ milliseconds }) => milliseconds > 0);
    }

    /** Of several pauses, the latest end applies; a success does not end a pause. */
    recordRequestedPause(server: ServerStart, milliseconds: number): void {
        if (milliseconds <= this.pauseMilliseconds(server)) {
            return;
        }
        this.pauses.set(server.id, { start: server, end: monotonicNow() + milliseconds });
        this.logger.info("backend server requested a pause", { server: server.id, milliseconds });
    }

    recordFailure(server: ServerStart, reason: string): void {
        const now = monotonicNow();
        const before = findOfStart(this.exclusions, server);
        if (before !== undefined && before.until > now) {
            return;
        }
        const failures = before !== undefined && now - before.until < failureResetMilliseconds
            ? before.failures + 1
            : 1;
        const backoff = Math.min(maximumBackoffMilliseconds, initialFailureBackoffMilliseconds * 2 ** (failures - 1));
        this.exclusions.set(server.id, {
            start: server,
            until: now + backoff,
            failures,
            refusals: before?.refusals ?? 0,
        });
        this.logger.warn("backend server failed; excluded from new requests", {
            server: server.id,
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
    recordRefusal(server: ServerStart, reason: string): void {
        const now = monotonicNow();
        const before = findOfStart(this.exclusions, server);
        if (before !== undefined && before.until > now) {
            return;
        }
        const refusals = (before?.refusals ?? 0) + 1;
        const backoff = Math.min(maximumBackoffMilliseconds, initialRefusalBackoffMilliseconds * 2 ** (refusals - 1));
        this.exclusions.set(server.id, {
            start: server,
            until: now + backoff,
            failures: before?.failures ?? 0,
            refusals,
        });
        this.logger.info("backend server refused a request; excluded from new requests", {
            server: server.id,
            reason,
            refusals,
            milliseconds: backoff,
        });
    }

    recordSuccess(server: ServerStart): void {
        if (findOfStart(this.exclusions, server) !== undefined) {
            this.exclusions.delete(server.id);
            this.logger.info("backend server available again after a successful request", { server: server.id });
        }
    }
}

function findOfStart<Value extends { readonly start: ServerStart; }>(
    values: ReadonlyMap<string, Value>,
    server: ServerStart,
): Value | undefined {
    const value = values.get(server.id);
    return value !== undefined && isSameStart(value.start, server) ? value : undefined;
}
