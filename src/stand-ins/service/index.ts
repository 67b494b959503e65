/** The stand-in for plain services. */
export * from "./service.js";
