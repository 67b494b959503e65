/** The public entry of the library. */
export * from "./errors/index.js";
