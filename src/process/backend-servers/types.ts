/** What a router knows of a backend server beyond its description. */
import type { LoadReport } from "../../domain/backend-server.js";

/** Whether a backend server gets new work. */
export const BackendServerState = {
    live: "live",
    /** Takes no new work; final for its incarnation. */
    leaving: "leaving",
    /** Left out for a while because requests failed there. */
    ejected: "ejected",
    /** Does not answer. */
    unreachable: "unreachable",
} as const;
export type BackendServerState = typeof BackendServerState[keyof typeof BackendServerState];

/** A load report, with what is needed to use it later. */
export interface LoadEvidence {
    readonly report: LoadReport;
    /** On the monotonic clock, in milliseconds. */
    readonly receivedAt: number;
    /** This router's own attempts and their tokens in flight at that time, which the report mostly contains. */
    readonly ownAttempts: number;
    readonly ownTokens: number;
}
