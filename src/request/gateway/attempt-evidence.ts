/** What the end of an attempt shows of the servers that it ran on, on both request paths. */
import { ConnectionFailure } from "../../errors/index.js";
import { AttemptEvidence } from "../../process/gateway/server-failures/types.js";
import { ResponseVerdict } from "./response-check.js";
import { AttemptEnd, type AttemptResult } from "./stream-attempt.js";

const lowestServerErrorStatus = 500;

/** Conditions of a stream's run as it ended. */
export interface RunConditions {
    /** Whether a server of its path was known to be lost. */
    readonly hasLostServer: boolean;
    /** Whether the run had been moved to another path. */
    readonly hasMoved: boolean;
    /** Time since its last event, or since its start. */
    readonly silentMilliseconds: number;
}

/** Evidence of a complete response. */
export function evidenceOfVerdict(verdict: ResponseVerdict, status: number): AttemptEvidence {
    switch (verdict) {
        case ResponseVerdict.invalid:
            return AttemptEvidence.invalid;
        case ResponseVerdict.notRun:
            return AttemptEvidence.none;
        case ResponseVerdict.answered:
            return status >= lowestServerErrorStatus ? AttemptEvidence.errorResponse : AttemptEvidence.success;
    }
}

/** Evidence of a connection that failed. */
export function evidenceOfFailure(failure: ConnectionFailure | undefined): AttemptEvidence {
    switch (failure) {
        case ConnectionFailure.broken:
            return AttemptEvidence.brokeOff;
        case ConnectionFailure.protocol:
            return AttemptEvidence.invalid;
        default:
            return AttemptEvidence.none;
    }
}

/** A server cuts a stream off after the stall time because of another one that is gone, which says nothing of itself. */
export function evidenceOfStream(
    { end, head, connectionFailure }: AttemptResult,
    { hasLostServer, hasMoved, silentMilliseconds }: RunConditions,
    stallMilliseconds: number,
): AttemptEvidence {
    if (end === AttemptEnd.complete) {
        return hasMoved ? AttemptEvidence.none : AttemptEvidence.success;
    }
    if (end === AttemptEnd.failure) {
        return evidenceOfVerdict(ResponseVerdict.answered, head!.status);
    }
    const evidence = end === AttemptEnd.broken ? evidenceOfFailure(connectionFailure) : AttemptEvidence.none;
    const isExplained = hasLostServer || hasMoved || silentMilliseconds >= stallMilliseconds;
    return evidence === AttemptEvidence.brokeOff && isExplained ? AttemptEvidence.none : evidence;
}
