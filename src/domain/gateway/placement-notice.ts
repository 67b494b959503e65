/**
 * Notices that the placement leader sends to the other routers, and the loads that they return. Notices arrive earlier
 * than changes of the registry, and also while the store is unavailable.
 */
import type { LayerRange } from "../layers.js";
import type { SocketAddress } from "./server-entry.js";

export interface ServerNotice {
    readonly id: string;
    /** Unix time in milliseconds of the server start that the notice applies to. */
    readonly bornAt: number | undefined;
    /** Layers that the server reported as loaded; undefined if it holds none or is dropping them. */
    readonly layers: LayerRange | undefined;
    /** Whether the server is unreachable or has reported that it is leaving. */
    readonly lost: boolean;
}

/** The running requests on one backend server. */
export interface RunningLoad {
    readonly requests: number;
    /** Prompt tokens and expected output tokens of these requests. */
    readonly tokens: number;
}

/** Keyed by backend server ID. */
export type ServerLoads = ReadonlyMap<string, RunningLoad>;

export interface PlacementNotice {
    readonly sender: string;
    readonly servers: readonly ServerNotice[];
    /** Total load of all routers except the receiver. */
    readonly otherLoads: ServerLoads;
}

export interface NoticeSender {
    /**
     * Sends a notice to every other router. Each router that accepts its notice responds with its own load. Failures
     * are only logged, since the next notice follows soon.
     */
    send(createNotice: (router: SocketAddress) => PlacementNotice, onLoads: LoadListener): void;
}

export type LoadListener = (router: SocketAddress, loads: ServerLoads) => void;
