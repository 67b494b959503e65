/** Configurations that other routers have in force. */
import type { SocketAddress } from "./server-entry.js";

/** What another router says of its configuration. */
export interface PeerConfiguration {
    /** As it was published; undefined if it is not newer than the version that was asked for. */
    readonly encoded: Buffer | undefined;
    /** How long the router's process has been running. */
    readonly runningMilliseconds: number;
}

export interface ConfigurationSource {
    /** Rejects with PeerUnreachableError or InvalidPeerMessageError. */
    readConfiguration(router: SocketAddress, afterVersion: number): Promise<PeerConfiguration>;
}
