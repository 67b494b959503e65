/** Failures of attempts: their kind, the backend server at fault and whether any layer may have run. */
import type { FailureFrame } from "../../domain/engine-protocol.js";

export const AttemptFailureKind = {
    /** A backend server refused the attempt before any layer ran. */
    refused: "refused",
    /** A stage of the pipeline failed or could not be reached. */
    stageLost: "stage-lost",
    /** The connection could not be opened, or it broke. */
    connectionLost: "connection-lost",
    /** The connection delivered no frame within its timeout; the backend server itself may be healthy. */
    connectionSilent: "connection-silent",
    /** Frames such as heartbeats arrived, but no token within the stall timeout. */
    stalled: "stalled",
    /** The response could not be parsed, or a frame belonged to another attempt or did not match the plan. */
    violation: "violation",
    /** The frame stream completed without an end or failure frame. */
    incomplete: "incomplete",
} as const;
export type AttemptFailureKind = typeof AttemptFailureKind[keyof typeof AttemptFailureKind];

export interface AttemptFailure {
    readonly kind: AttemptFailureKind;
    /**
     * The engine's failure reason, a FrameViolation, a ConnectionFailure or the failure kind. Recorded in metrics and
     * named in the answer's error; an engine's reason for a refusal also affects the recovery.
     */
    readonly reason: string;
    /** The backend server at fault, where known. */
    readonly backendServer?: string;
    /** Whether any layer may have run for the attempt. */
    readonly mayHaveRun: boolean;
    readonly cause?: unknown;
}

/** Converts an engine's failure frame. The first stage is at fault if the frame names no backend server. */
export function failureFromFrame(
    frame: FailureFrame,
    firstBackendServer: string,
    tokenReceived: boolean,
): AttemptFailure {
    const mayHaveRun = frame.started || tokenReceived;
    return {
        kind: mayHaveRun ? AttemptFailureKind.stageLost : AttemptFailureKind.refused,
        reason: frame.reason,
        backendServer: frame.backendServer ?? firstBackendServer,
        mayHaveRun,
    };
}
