/**
 * Decides how long a router collects changes of the platform's store before it reads the next ones. Each change wakes the
 * watches of all routers, so the fleet's calls grow with the number of routers times the number of changes. Answers the
 * load pattern of many changes in a row on a large fleet: registrations after a power failure, or a release.
 */

/** Time within which routers have to act on a change, in milliseconds. */
export interface ChangeBounds {
    readonly configurationApplyMilliseconds: number;
    readonly drainMilliseconds: number;
}

export interface ReadPacing {
    /** Milliseconds between a read that returned changes and the next one. */
    delayMilliseconds(routerCount: number, isPlacementLeader: boolean): number;
}

/** Baseline: the same delay for every router of every fleet. */
export class ConstantReadPacing implements ReadPacing {
    constructor(private readonly milliseconds: number) {}

    delayMilliseconds(): number {
        return this.milliseconds;
    }
}

/** A tenth of the shortest bound on small deployments, 2 s. */
const minimumDelayMilliseconds = 200;
/** Reads of changes per second that all routers together may make, an eighth of the store's read rate at 13 routers. */
const fleetReadsPerSecond = 250;
/** Leaves the rest of the bound for the call itself, for a retry after a lost answer, and for the routers' own work. */
const maximumShareOfBound = 0.2;
const millisecondsPerSecond = 1_000;

/**
 * Keeps the reads of the whole fleet below a rate, as far as the bounds allow. The placement leader reads without
 * additional delay, because repairs depend on it.
 */
export class FleetReadPacing implements ReadPacing {
    constructor(private readonly bounds: ChangeBounds) {}

    delayMilliseconds(routerCount: number, isPlacementLeader: boolean): number {
        if (isPlacementLeader) {
            return minimumDelayMilliseconds;
        }
        const { configurationApplyMilliseconds, drainMilliseconds } = this.bounds;
        const longest = maximumShareOfBound * Math.min(configurationApplyMilliseconds, drainMilliseconds);
        const wanted = routerCount * millisecondsPerSecond / fleetReadsPerSecond;
        return Math.max(minimumDelayMilliseconds, Math.min(wanted, longest));
    }
}
