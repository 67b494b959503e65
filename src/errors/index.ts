/** All error classes, one file per area. Importing this module adds every error definition to the registry. */
export * from "./booking-errors.js";
export * from "./configuration-errors.js";
export * from "./connection-errors.js";
export * from "./gateway-errors.js";
export * from "./general-errors.js";
export * from "./operator-errors.js";
export * from "./peer-errors.js";
export * from "./placement-errors.js";
export * from "./platform-errors.js";
export * from "./pomelostall-error.js";
export * from "./request-errors.js";
export * from "./service-errors.js";
export * from "./settings-errors.js";
export * from "./sheet-errors.js";
