/** Connections between routers. */
export * from "./certificates.js";
export * from "./peer-client.js";
export * from "./peer-ledger-client.js";
export * from "./peer-server.js";
