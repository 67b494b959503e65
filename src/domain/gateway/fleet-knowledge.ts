/**
 * What a running router knows of servers and prompts that a starting one cannot read in the store: it was learnt from servers
 * themselves, or the store has come back from a copy without it.
 */
import type { ServerStart, SocketAddress } from "./server-entry.js";

/** A start of a server that has left. */
export interface KnownDeparture extends ServerStart {
    /** Of the last known entry. */
    readonly heartbeats: number;
    /** Time since the departure became known. */
    readonly milliseconds: number;
    /** Whether the server itself has said so, rather than its entry having been removed. */
    readonly announced: boolean;
}

/** A start of a server that gets no new requests for a time. */
export interface KnownPause extends ServerStart {
    readonly milliseconds: number;
}

/** A blocked part of prompts that the store does not hold. */
export interface KnownBlock {
    readonly part: string;
    readonly milliseconds: number;
}

export interface FleetKnowledge {
    readonly departures: readonly KnownDeparture[];
    /** Pauses that servers have requested. */
    readonly pauses: readonly KnownPause[];
    /** Servers that fail their requests, with the time until they are tried again. */
    readonly failing: readonly KnownPause[];
    readonly blocks: readonly KnownBlock[];
}

export interface KnowledgeSource {
    /** Rejects with PeerUnreachableError or InvalidPeerMessageError. */
    readKnowledge(router: SocketAddress): Promise<FleetKnowledge>;
}
