/**
 * Decides how a running stream goes on after servers of its path were lost. Moving it keeps the KV cache of all other
 * parts, but each crossing between zones carries the activations of all its tokens over a link that every moved stream
 * shares; many streams that lose the same server at once fill that link for seconds. Running again elsewhere reads the
 * whole prompt again, and nothing crosses if the new path lies inside a zone.
 */
import { countZoneCrossings, type LayerPath } from "./layer-path-finder.js";

export const Repair = {
    /** The running request moves to the replacement path. */
    move: "move",
    /** The request is sent again from its last event on. */
    runAgain: "run-again",
    /** Neither is possible; the attempt goes on and may still stall. */
    wait: "wait",
} as const;
export type Repair = typeof Repair[keyof typeof Repair];

export interface RepairOptions {
    /** The path that lost servers. */
    readonly path: LayerPath;
    /** The same path with other servers in place of the lost ones, if there are any. */
    readonly replacement: LayerPath | undefined;
    /** The path of a new run; undefined if there is none or the request may not run again. */
    readonly fresh: LayerPath | undefined;
}

export interface LostPartPolicy {
    choose(options: RepairOptions): Repair;
}

/** Moves wherever that is possible; the baseline. */
export class MoveWherePossible implements LostPartPolicy {
    choose({ replacement, fresh }: RepairOptions): Repair {
        return replacement !== undefined ? Repair.move : fresh !== undefined ? Repair.runAgain : Repair.wait;
    }
}

/** Moves unless that adds crossings between zones that a new run does without. */
export class FewestZoneCrossingsPolicy implements LostPartPolicy {
    choose({ path, replacement, fresh }: RepairOptions): Repair {
        if (replacement === undefined) {
            return fresh !== undefined ? Repair.runAgain : Repair.wait;
        }
        const added = countZoneCrossings(replacement) - countZoneCrossings(path);
        return added > 0 && fresh !== undefined && countZoneCrossings(fresh) < countZoneCrossings(replacement)
            ? Repair.runAgain
            : Repair.move;
    }
}
