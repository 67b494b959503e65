/** Links to backend servers over HTTP. */
export * from "./http-connection.js";
export * from "./http-connections.js";
export * from "./settings.js";
