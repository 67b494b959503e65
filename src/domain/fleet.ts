/** The fleet of routers: its members, their notices about backend servers, and customer demand. */
import type { Location } from "./topology.js";

export const RouterState = { alive: "alive", suspect: "suspect", dead: "dead", left: "left" } as const;
export type RouterState = typeof RouterState[keyof typeof RouterState];

export interface RouterMember {
    readonly id: string;
    /** Base URL of the router's peer interface, with an IP address. */
    readonly address: string;
    readonly location: Location;
    readonly incarnation: number;
    readonly state: RouterState;
    /** The active configuration version that the router last reported. */
    readonly configurationVersion: number;
}

/** Why peers should stop using a backend server. */
export const BackendServerSignal = { leaving: "leaving", failed: "failed" } as const;
export type BackendServerSignal = typeof BackendServerSignal[keyof typeof BackendServerSignal];

/** A router's observation that a backend server is leaving or has failed; sent to all routers. */
export interface BackendServerNotice {
    readonly backendServer: string;
    /** The incarnation that was observed; the notice does not apply to later incarnations. */
    readonly incarnation: number;
    readonly signal: BackendServerSignal;
}

/** The fleet of routers as known to this router. */
export interface Fleet {
    readonly self: RouterMember;
    members(): readonly RouterMember[];
    /** Sends a notice to the other routers. */
    publishNotice(notice: BackendServerNotice): void;
    onNotice(listener: (notice: BackendServerNotice) => void): () => void;
    /** Sets the customer's demand at this router. */
    reportDemand(customer: string, tokensPerSecond: number): void;
    /** The customer's estimated demand across all routers, in tokens per second. */
    fleetDemand(customer: string): number;
}
