/** How routers hand configuration versions to each other. The connections between routers carry it. */
import type { VersionRecord } from "./configuration-record.js";

/** A version as it is stored and passed on. */
export interface StoredVersion {
    readonly record: VersionRecord;
    /** The sheet's text, compressed with gzip. */
    readonly compressedSheet: Uint8Array;
}

/** A peer's word that it has a version in force. */
export interface VersionAnnouncement {
    readonly routerId: string;
    readonly version: number;
}

/** What a router offers to its peers; the configuration store implements it. */
export interface VersionProvider {
    /** The highest version that this router holds, or 0. */
    readonly highestVersion: number;
    /** The stored form of the version in force if it is at least the given one, else undefined. */
    readStored(minimumVersion: number): StoredVersion | undefined;
}

/** What a router learns of its peers' versions; membership implements it. */
export interface VersionExchange {
    /** Tells peers that this router has the version in force. */
    announce(version: number): void;
    /** The highest version that any peer is known to have in force, and one peer that has it. */
    highestAnnounced(): VersionAnnouncement | undefined;
    /** Calls the listener when a peer announces a version; the result removes it. */
    onAnnouncement(listener: (announcement: VersionAnnouncement) => void): () => void;
    /** Asks peers, new ones included, which version they hold; those that do not answer in time are left out. */
    queryPeerVersions(timeoutMilliseconds: number): Promise<readonly VersionAnnouncement[]>;
    /** Reads the version in force from a peer if it is at least the given one. Rejects when the peer fails. */
    readVersion(
        routerId: string,
        minimumVersion: number,
        timeoutMilliseconds: number,
    ): Promise<StoredVersion | undefined>;
}

/** What one router says of the version it has in force. */
export interface VersionConfirmation {
    readonly routerId: string;
    readonly availabilityZone: string;
    /** 0 when the router could not be asked. */
    readonly version: number;
}

/** Asks every router of the fleet which version it has in force; for operators. */
export interface FleetVersions {
    read(timeoutMilliseconds: number): Promise<readonly VersionConfirmation[]>;
}
