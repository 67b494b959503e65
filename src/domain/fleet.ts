/** What a router knows of the other routers. */
import type { Location } from "./topology.js";

export const RouterState = { alive: "alive", suspect: "suspect", dead: "dead", left: "left" } as const;
export type RouterState = typeof RouterState[keyof typeof RouterState];

/** Another router, or this one. */
export interface RouterMember {
    readonly id: string;
    /** Base URL of its peer interface, by IP number. */
    readonly address: string;
    readonly location: Location;
    readonly incarnation: number;
    readonly state: RouterState;
    /** The configuration version that it last said was in force. */
    readonly configurationVersion: number;
}

/** Why peers should stop using a backend server. */
export const BackendServerSignal = { leaving: "leaving", failed: "failed" } as const;
export type BackendServerSignal = typeof BackendServerSignal[keyof typeof BackendServerSignal];

/** One router's sight of a backend server, spread to all. */
export interface BackendServerNotice {
    readonly backendServer: string;
    /** The incarnation it was seen in; a later incarnation is not affected. */
    readonly incarnation: number;
    readonly signal: BackendServerSignal;
}

/** The fleet of routers as one of them sees it. */
export interface Fleet {
    readonly self: RouterMember;
    members(): readonly RouterMember[];
    /** Spreads a sight of a backend server to the other routers. */
    publishNotice(notice: BackendServerNotice): void;
    onNotice(listener: (notice: BackendServerNotice) => void): () => void;
    /** Sets this router's own demand of a customer, in tokens a second. */
    reportDemand(customer: string, tokensPerSecond: number): void;
    /** The estimated demand of a customer over all routers, in tokens a second. */
    fleetDemand(customer: string): number;
}
