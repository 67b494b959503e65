/** Public entry point of the library. */
export * from "./errors/index.js";
