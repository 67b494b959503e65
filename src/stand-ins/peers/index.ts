/** Emulated network between routers in one process. */
export * from "./in-process-peer-network.js";
