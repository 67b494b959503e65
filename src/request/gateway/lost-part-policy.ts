/**
 * Decides how to recover a running stream whose path has lost backend servers. Moving the stream to a replacement path
 * keeps the KV cache of the remaining parts, but every crossing between availability zones sends the activations of all
 * its tokens over a link that all moved streams share; many streams that lose the same server at once saturate this
 * link for seconds. A new run on another path processes the whole prompt again, but sends nothing between zones if the
 * new path lies within one zone.
 */
import { countZoneCrossings, type LayerPath } from "./layer-path-finder.js";

export const RecoveryAction = {
    /** Moves the running request to the replacement path. */
    move: "move",
    /** Sends the request again and resumes the stream after the last delivered event. */
    rerun: "run-again",
    /** Neither is possible; the attempt continues unchanged and may stall. */
    wait: "wait",
} as const;
export type RecoveryAction = typeof RecoveryAction[keyof typeof RecoveryAction];

export interface RecoveryOptions {
    /** The current path, which includes the lost servers. */
    readonly path: LayerPath;
    /** The current path with the lost servers replaced; undefined if no such path exists. */
    readonly replacement: LayerPath | undefined;
    /** The path for a new run; undefined if there is none or the request may not be run again. */
    readonly newPath: LayerPath | undefined;
}

export interface PathRecoveryPolicy {
    choose(options: RecoveryOptions): RecoveryAction;
}

/** Baseline policy: moves the request whenever a replacement path exists. */
export class AlwaysMovePolicy implements PathRecoveryPolicy {
    choose({ replacement, newPath }: RecoveryOptions): RecoveryAction {
        return replacement !== undefined
            ? RecoveryAction.move
            : newPath !== undefined
            ? RecoveryAction.rerun
            : RecoveryAction.wait;
    }
}

/** Moves the request unless that adds zone crossings and a new run has fewer crossings than the replacement path. */
export class FewestZoneCrossingsPolicy implements PathRecoveryPolicy {
    choose({ path, replacement, newPath }: RecoveryOptions): RecoveryAction {
        if (replacement === undefined) {
            return newPath !== undefined ? RecoveryAction.rerun : RecoveryAction.wait;
        }
        const addedCrossings = countZoneCrossings(replacement) - countZoneCrossings(path);
        return addedCrossings > 0 && newPath !== undefined
                && countZoneCrossings(newPath) < countZoneCrossings(replacement)
            ? RecoveryAction.rerun
            : RecoveryAction.move;
    }
}
