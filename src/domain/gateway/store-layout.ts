/** Keys and value formats of the platform's store that the gateway reads. */
import type { GatewayConfiguration } from "./configuration.js";
import type { ServerEntry } from "./server-entry.js";

export interface StoreLayout {
    /** Common prefix of all keys that the gateway watches. */
    readonly rootPrefix: string;
    readonly configurationKey: string;
    /** Prefix of the keys of backend servers; the ID of the backend server follows. */
    readonly serverKeyPrefix: string;
    /** Key of the placement leader, the router that sends orders to model engines; bound to its lease. */
    readonly placementLeaderKey: string;
    /** Prefix of the keys of routers; the router's name follows. The value is its address for other routers. */
    readonly routerKeyPrefix: string;
    /** Prefix of the records of routers' processes; followed by the router's name. */
    readonly processKeyPrefix: string;
    /** Key that lasts from the first registration of any router. */
    readonly fleetStartedKey: string;
    /** Prefix of the keys of evidence of crashes that prompts may have caused. */
    readonly crashEvidenceKeyPrefix: string;
    /** Prefix of the keys of blocked prompt parts; the ID of the part follows. */
    readonly blockedPartKeyPrefix: string;
    /** Throws MalformedConfigurationError if the value is not a valid configuration. */
    decodeConfiguration(value: Buffer): GatewayConfiguration;
    /** Returns undefined if the value does not describe a usable backend server. */
    decodeServer(id: string, value: Buffer): ServerEntry | undefined;
}
