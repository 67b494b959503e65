/** States of backend servers in the registry and the load reports received from them. */
import type { LoadReport } from "../../domain/backend-server.js";

/** State that determines whether a backend server gets new work; only a live one does. */
export const BackendServerState = {
    live: "live",
    /** Shutting down; final for this incarnation. */
    leaving: "leaving",
    /** Excluded temporarily by outlier ejection after failed attempts. */
    ejected: "ejected",
    /** Its connection or event stream failed, or another router reported it as failed. */
    unreachable: "unreachable",
} as const;
export type BackendServerState = typeof BackendServerState[keyof typeof BackendServerState];

/** A load report together with the state of this router's own attempts when it was received. */
export interface LoadSnapshot {
    readonly report: LoadReport;
    /** Monotonic milliseconds. */
    readonly receivedAt: number;
    /** This router's in-flight attempts and their tokens at that time; most are included in the report. */
    readonly ownAttempts: number;
    readonly ownTokens: number;
}
