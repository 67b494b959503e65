/** Messages between routers, and the transport that carries them. src/connection/router puts them on the wire. */
import type { BackendServerNotice, RouterMember } from "../../domain/fleet.js";
import type { StoredVersion, VersionAnnouncement } from "../../domain/version-exchange.js";

/** One piece of news. */
export type Delta =
    | { readonly kind: "member"; readonly member: RouterMember; }
    | { readonly kind: "notice"; readonly notice: BackendServerNotice; }
    | { readonly kind: "version"; readonly announcement: VersionAnnouncement; };

/** The demand of some customers, for one step of averaging. */
export interface DemandSlice {
    readonly epoch: number;
    /** Customers whose key starts with these bits. */
    readonly slice: number;
    readonly sliceBits: number;
    /** Ascending. */
    readonly keys: readonly number[];
    /** Quantized demand, in the order of the keys. */
    readonly values: readonly number[];
}

/** A probe or its answer. */
export interface GossipMessage {
    readonly senderId: string;
    readonly incarnation: number;
    readonly configurationVersion: number;
    /** Digest of the sender's view of the fleet. */
    readonly digest: number;
    readonly deltas: readonly Delta[];
    readonly demand?: DemandSlice;
    /** The answering side does not know the sender yet. */
    readonly unknownSender: boolean;
}

/** Everything that a router knows of the fleet. */
export interface FleetState {
    readonly members: readonly RouterMember[];
    readonly notices: readonly BackendServerNotice[];
    readonly version?: VersionAnnouncement;
}

/** Another router, as a target of calls. */
export interface PeerTarget {
    readonly id: string;
    readonly address: string;
}

/** Calls to other routers. Each rejects with a PeerUnreachableError when there is no answer in time. */
export interface PeerTransport {
    gossip(address: string, message: GossipMessage, timeoutMilliseconds: number): Promise<GossipMessage>;
    probeIndirectly(address: string, target: PeerTarget, timeoutMilliseconds: number): Promise<boolean>;
    exchange(address: string, state: FleetState, timeoutMilliseconds: number): Promise<FleetState>;
    readVersion(
        address: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined>;
    /** Gives up a connection that may have gone silent; the next call opens a new one. */
    forget(address: string): void;
    /** Keeps connections to these addresses and lets others go when they are idle. */
    keep(addresses: ReadonlySet<string>): void;
}

/** Answers calls from other routers. */
export interface PeerHandler {
    gossip(message: GossipMessage): GossipMessage;
    probeIndirectly(target: PeerTarget): Promise<boolean>;
    exchange(state: FleetState): FleetState;
    readVersion(minimumVersion: number): StoredVersion | undefined;
}
