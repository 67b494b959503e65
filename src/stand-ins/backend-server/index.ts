/** The stand-in for backend servers and their model engines, and the networks between pipeline stages. */
export * from "./engine.js";
export * from "./http-stage-network.js";
export * from "./in-process-connection.js";
export * from "./in-process-stage-network.js";
export * from "./record.js";
export * from "./server.js";
export * from "./tokens.js";
export * from "./types.js";
export * from "./weight-store.js";
