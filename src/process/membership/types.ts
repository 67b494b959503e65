/** Messages between routers and the interface of their transport. src/connection/router encodes and sends them. */
import type { BackendServerNotice, RouterMember } from "../../domain/fleet.js";
import type { StoredVersion, VersionAnnouncement } from "../../domain/version-exchange.js";

/** One change of the fleet's state that routers gossip. */
export type Delta =
    | { readonly kind: "member"; readonly member: RouterMember; }
    | { readonly kind: "notice"; readonly notice: BackendServerNotice; }
    | { readonly kind: "version"; readonly announcement: VersionAnnouncement; };

/** The demand of some customers, for one step of averaging. */
export interface DemandSlice {
    readonly epoch: number;
    /** The slice holds the customers whose keys start with these bits. */
    readonly slice: number;
    /** Number of leading bits that `slice` gives; 0 for all customers. */
    readonly sliceBits: number;
    /** Hashed keys of the customers, in ascending order. */
    readonly keys: readonly number[];
    /** Quantized demand, in the order of the keys. */
    readonly values: readonly number[];
}

/** A probe or the reply to it. */
export interface GossipMessage {
    readonly senderId: string;
    readonly incarnation: number;
    readonly configurationVersion: number;
    /** Digest of the sender's view of the fleet. */
    readonly digest: number;
    readonly deltas: readonly Delta[];
    readonly demand?: DemandSlice;
    /** In a reply: the replying router does not know the sender of the probe. */
    readonly unknownSender: boolean;
}

/** The full state of a router's view of the fleet. */
export interface FleetState {
    readonly members: readonly RouterMember[];
    readonly notices: readonly BackendServerNotice[];
    readonly version?: VersionAnnouncement;
}

/** A router to call. */
export interface PeerTarget {
    readonly id: string;
    readonly address: string;
}

/** Calls to other routers. Each rejects with a PeerUnreachableError if no reply arrives within the timeout. */
export interface PeerTransport {
    gossip(address: string, message: GossipMessage, timeoutMilliseconds: number): Promise<GossipMessage>;
    probeIndirectly(address: string, target: PeerTarget, timeoutMilliseconds: number): Promise<boolean>;
    exchange(address: string, state: FleetState, timeoutMilliseconds: number): Promise<FleetState>;
    readVersion(
        address: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined>;
    /** Drops the connection to an address, since it may be dead; the next call opens a new one. */
    closeConnection(address: string): void;
    /** Keeps connections to these addresses open; others are closed when idle. */
    keepConnectionsOpen(addresses: ReadonlySet<string>): void;
}

/** Handles calls from other routers. */
export interface PeerHandler {
    gossip(message: GossipMessage): GossipMessage;
    probeIndirectly(target: PeerTarget): Promise<boolean>;
    exchange(state: FleetState): FleetState;
    readVersion(minimumVersion: number): StoredVersion | undefined;
}
