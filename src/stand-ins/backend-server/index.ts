/** The stand-in for model engines, and the networks between its stages. */
export * from "./engine.js";
export * from "./http-network.js";
export * from "./in-process-connection.js";
export * from "./in-process-network.js";
export * from "./record.js";
export * from "./server.js";
export * from "./tokens.js";
export * from "./types.js";
export * from "./weight-store.js";
