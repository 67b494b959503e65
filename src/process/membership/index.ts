/** Gossip-based membership of the router fleet. */
export * from "./membership.js";
export * from "./peer-versions.js";
export * from "./settings.js";
export * from "./timers.js";
export * from "./types.js";
