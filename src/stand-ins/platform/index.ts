/** Stand-in for the platform: in process, and as an HTTP server. */
export { CallCounts } from "./call-counts.js";
export { Availability, createFaults, type PlatformFaults } from "./faults.js";
export type { StoreSnapshot } from "./key-value-store.js";
export { PlatformServer, standInVmsPath } from "./platform-server.js";
export { StandInPlatform } from "./stand-in-platform.js";
