/** Where the platform's store holds what the gateway follows, and how the values are read. */
import type { GatewayConfiguration } from "./configuration.js";
import type { ServerEntry } from "./server-entry.js";

export interface StoreLayout {
    /** Prefix of everything that is followed. */
    readonly rootPrefix: string;
    readonly configurationKey: string;
    /** Followed by the backend server's ID. */
    readonly serverKeyPrefix: string;
    /** Held, with a lease, by the router that orders model engines. */
    readonly placementLeaderKey: string;
    /** Followed by the name of a router; the value is the address at which other routers reach it. */
    readonly routerKeyPrefix: string;
    /** Throws MalformedConfigurationError. */
    decodeConfiguration(value: Buffer): GatewayConfiguration;
    /** Undefined for a value that names no backend server to use. */
    decodeServer(id: string, value: Buffer): ServerEntry | undefined;
}
