/**
 * The sheet: the CSV file in which operators describe the configuration. Parses, checks, compares and documents it.
 */
export { buildConfiguration, createEmptyConfiguration, previewConfiguration } from "./build-configuration.js";
export { describeSheet } from "./describe-sheet.js";
export { diffSheets } from "./diff-sheets.js";
export { parseSheet, type SheetRow, type SheetRows } from "./parse-sheet.js";
export { SheetTopology } from "./sheet-topology.js";
