/** How an attempt at an answer can fail, and what that says of the backend servers. */
import type { FailureFrame } from "../../domain/engine-protocol.js";

export const AttemptFailureKind = {
    /** A backend server refused the attempt before any layer ran. */
    refused: "refused",
    /** A stage of the pipeline failed or could not be reached. */
    stageLost: "stage-lost",
    /** The connection could not be made, or it broke. */
    connectionLost: "connection-lost",
    /** The connection carried nothing for too long; the backend server itself may be well. */
    connectionSilent: "connection-silent",
    /** Heartbeats came, but no token. */
    stalled: "stalled",
    /** A frame did not belong to the attempt or broke its plan. */
    violation: "violation",
    /** The frames ended without an end or failure frame. */
    incomplete: "incomplete",
} as const;
export type AttemptFailureKind = typeof AttemptFailureKind[keyof typeof AttemptFailureKind];

export interface AttemptFailure {
    readonly kind: AttemptFailureKind;
    /** A short reason for logs and metrics: an engine's reason or a frame violation. */
    readonly reason: string;
    /** The backend server at fault, where known. */
    readonly backendServer?: string;
    /** Whether any layer may have run for the attempt. */
    readonly mayHaveRun: boolean;
    readonly cause?: unknown;
}

/** The failure that an engine reported. */
export function failureFromFrame(frame: FailureFrame, firstStage: string, sawToken: boolean): AttemptFailure {
    const mayHaveRun = frame.started || sawToken;
    return {
        kind: mayHaveRun ? AttemptFailureKind.stageLost : AttemptFailureKind.refused,
        reason: frame.reason,
        backendServer: frame.backendServer ?? firstStage,
        mayHaveRun,
    };
}
