/** What the router that leads placement tells the others directly, ahead of the registry and while the store is away. */
import type { LayerRange } from "../layers.js";

export interface ServerNotice {
    readonly id: string;
    /** Start of the server that the notice is about. */
    readonly bornAt: number | undefined;
    /** Layers that the server itself reported to hold; undefined if it holds none or gives them up. */
    readonly layers: LayerRange | undefined;
    /** The server answers nobody. */
    readonly lost: boolean;
}

export interface PlacementNotice {
    readonly sender: string;
    readonly servers: readonly ServerNotice[];
}

/** Sends a notice to every other router; failures are logged, as the next notice follows soon. */
export interface NoticeSender {
    send(notice: PlacementNotice): void;
}
