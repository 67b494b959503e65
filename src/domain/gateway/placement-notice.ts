/**
 * What the router that leads placement tells the others directly, ahead of the registry and while the store is away, and
 * what they answer.
 */
import type { LayerRange } from "../layers.js";
import type { SocketAddress } from "./server-entry.js";

export interface ServerNotice {
    readonly id: string;
    /** Start of the server that the notice is about. */
    readonly bornAt: number | undefined;
    /** Layers that the server itself reported to hold; undefined if it holds none or gives them up. */
    readonly layers: LayerRange | undefined;
    /** The server answers nobody, or says itself that it leaves. */
    readonly lost: boolean;
}

/** What runs on one backend server. */
export interface RunningLoad {
    readonly requests: number;
    /** Tokens of these requests, prompt and expected answer. */
    readonly tokens: number;
}

/** By the ID of the backend server. */
export type ServerLoads = ReadonlyMap<string, RunningLoad>;

export interface PlacementNotice {
    readonly sender: string;
    readonly servers: readonly ServerNotice[];
    /** What all routers but the receiver have running. */
    readonly otherLoads: ServerLoads;
}

export interface NoticeSender {
    /**
     * Sends a notice to every other router; each that takes it answers with what it has running itself. Failures are
     * logged, as the next notice follows soon.
     */
    send(noticeFor: (router: SocketAddress) => PlacementNotice, answered: LoadListener): void;
}

export type LoadListener = (router: SocketAddress, loads: ServerLoads) => void;
