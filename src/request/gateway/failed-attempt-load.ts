/**
 * Decides how long an attempt that failed at a plain service still counts as load on its server. Answers the load pattern
 * of a few servers behind many routers, one of which fails requests at once: it seems the least loaded, so that it draws
 * more requests than the sound ones, and each router alone sees too few requests to tell it from them. A failure that
 * counts as load reaches all routers with the loads that they exchange anyway, and it never takes a server out: if all
 * fail alike, or the others are full, all are used as before.
 */
import { noticeIntervalMilliseconds } from "../../process/gateway/fleet-load.js";

/** Decides how long a failed attempt counts as load. */
export interface FailedAttemptLoad {
    /** Time for which an attempt counts after it has failed; 0 if it ends like any other. */
    readonly heldMilliseconds: number;
}

/** Baseline: a failed attempt ends like any other. */
export class NoFailedAttemptLoad implements FailedAttemptLoad {
    readonly heldMilliseconds = 0;
}

/**
 * A failed attempt counts for four notices of the fleet's loads: long enough that every router learns of it and spares the
 * server, and short enough that a mended server soon gets its share again.
 */
export class HeldFailedAttemptLoad implements FailedAttemptLoad {
    readonly heldMilliseconds = 4 * noticeIntervalMilliseconds;
}
