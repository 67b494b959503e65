/**
 * What this router knows of engines that work more slowly than usual, by their own statement. Answers the load pattern of
 * a part of a fleet that turns slow for some seconds (a throttled accelerator, a busy host): such an engine still accepts
 * requests and answers checks in time, so it is neither lost nor excluded, and a router that knows only loads goes on to
 * send it new requests, all of which come late.
 *
 * A statement holds for a few seconds at most, however often it is passed on: what nobody confirms ends by itself, and
 * the engine counts as nominal again. A statement only makes an engine dearer, and never excludes it, so that a false one
 * costs room but refuses nobody.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { ServerSlowdown, SlowdownReadings } from "../../domain/gateway/placement-notice.js";
import { noticeIntervalMilliseconds } from "./fleet-load.js";

export interface SlowdownEstimate {
    /** Factor on the duration of the server's work; 1 if nothing else is known. */
    factor(serverId: string): number;
}

/** Path choice without knowledge of slow engines. */
export class AlwaysNominal implements SlowdownEstimate {
    factor(): number {
        return 1;
    }
}

interface Reading {
    readonly factor: number;
    /** Monotonic time in milliseconds. */
    readonly readAt: number;
}

/** As the loads of the fleet: four missed notices. */
export const slowdownLifetimeMilliseconds = 4 * noticeIntervalMilliseconds;
/** Engines slower than nominal by less than this are within the spread of the costs that are drawn for each request. */
export const slowFactor = 1.25;
/** Bounds what a notice carries, and what a wrong one adds; the slowest come first. */
const maximumPublishedReadings = 64;
/** Bounds the factors of peers, as the adapter bounds those of engines. */
const maximumFactor = 100;

export class ServerSlowdowns implements SlowdownEstimate {
    private readonly readings = new Map<string, Reading>();

    constructor(private readonly metrics: Metrics, private readonly logger: Logger) {}

    factor(serverId: string): number {
        const reading = this.readings.get(serverId);
        return reading === undefined || isExpired(reading) ? 1 : reading.factor;
    }

    isSlow(serverId: string): boolean {
        return this.factor(serverId) >= slowFactor;
    }

    /** Time since the server was asked, by whichever router; Infinity if that is not known. */
    ageMilliseconds(serverId: string): number {
        const reading = this.readings.get(serverId);
        return reading === undefined ? Infinity : monotonicNow() - reading.readAt;
    }

    /** Records what the server has stated in a report that was requested at the given monotonic time. */
    record(serverId: string, factor: number, readAt: number): void {
        const before = this.readings.get(serverId);
        if (before !== undefined && before.readAt >= readAt) {
            return;
        }
        const wasSlow = this.isSlow(serverId);
        this.readings.set(serverId, { factor: Math.min(Math.max(1, factor), maximumFactor), readAt });
        this.removeExpired();
        if (this.isSlow(serverId) !== wasSlow) {
            this.metrics.increment("pomelostall.gateway.server_slowdowns", 1, { slow: String(!wasSlow) });
            this.logger.info("backend server's speed changed by its own statement", { server: serverId, factor });
        }
    }

    /** Takes over what another router has learned; newer readings of this router stay. */
    apply(readings: SlowdownReadings): void {
        const now = monotonicNow();
        for (const [id, { factor, ageMilliseconds }] of [...readings].slice(0, maximumPublishedReadings)) {
            if (ageMilliseconds >= 0 && ageMilliseconds < slowdownLifetimeMilliseconds) {
                this.record(id, factor, now - ageMilliseconds);
            }
        }
    }

    /** Unexpired readings of slow engines, the slowest first, at most as many as one notice carries. */
    get published(): SlowdownReadings {
        this.removeExpired();
        const now = monotonicNow();
        return new Map(
            [...this.readings]
                .filter(([, { factor }]) => factor >= slowFactor)
                .sort(([, left], [, right]) => right.factor - left.factor)
                .slice(0, maximumPublishedReadings)
                .map(([id, { factor, readAt }]): [string, ServerSlowdown] => [
                    id,
                    { factor, ageMilliseconds: now - readAt },
                ]),
        );
    }

    private removeExpired(): void {
        for (const [id, reading] of this.readings) {
            if (isExpired(reading)) {
                this.readings.delete(id);
            }
        }
    }
}

function isExpired({ readAt }: Reading): boolean {
    return monotonicNow() - readAt >= slowdownLifetimeMilliseconds;
}
