/** Exchange of configuration versions between routers, over the connections that the routers share. */
import type { VersionRecord } from "./configuration-record.js";

/** A version in the form in which it is stored and sent to other routers. */
export interface StoredVersion {
    readonly record: VersionRecord;
    /** Text of the configuration sheet, compressed with gzip. */
    readonly compressedSheet: Uint8Array;
}

/** A peer's announcement of its active version. */
export interface VersionAnnouncement {
    readonly routerId: string;
    readonly version: number;
}

/** Provides this router's versions to its peers; implemented by the configuration store. */
export interface VersionProvider {
    /** The highest version that this router holds, or 0. */
    readonly highestVersion: number;
    /** Returns the active version in its stored form, or undefined if there is none or it is below the minimum. */
    readStored(minimumVersion: number): StoredVersion | undefined;
}

/** Announces this router's version and reads the versions of its peers; implemented by the membership. */
export interface VersionExchange {
    /** Announces to peers that the version is active on this router. */
    announce(version: number): void;
    /** The highest active version that is known of any peer, with one peer that has it. */
    highestAnnounced(): VersionAnnouncement | undefined;
    /** Calls the listener when a peer announces a version. Returns a function that removes the listener. */
    onAnnouncement(listener: (announcement: VersionAnnouncement) => void): () => void;
    /** Reads the active versions of peers, including new peers. Omits peers that do not respond in time. */
    queryPeerVersions(timeoutMilliseconds: number): Promise<readonly VersionAnnouncement[]>;
    /** Reads a peer's active version, or undefined if it is lower than the given one. Rejects if the peer fails. */
    readVersion(
        routerId: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined>;
}

/** The active version that one router reported. */
export interface VersionConfirmation {
    readonly routerId: string;
    readonly availabilityZone: string;
    /** 0 if the router could not be reached. */
    readonly version: number;
}

/** Reads the active version of every router in the fleet; for operators. */
export interface FleetVersions {
    read(timeoutMilliseconds: number): Promise<readonly VersionConfirmation[]>;
}
