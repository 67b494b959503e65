/** HTTP connections to backend servers. */
export * from "./http-connection.js";
export * from "./http-connections.js";
export * from "./settings.js";
