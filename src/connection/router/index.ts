/** Connections between routers. */
export * from "./certificates.js";
export * from "./peer-client.js";
export * from "./peer-ledger.js";
export * from "./peer-server.js";
