/** Sheets as they are stored and passed on: compressed, so that a day's versions fit the routers' budget for control. */
import { gunzipSync, gzipSync } from "node:zlib";
import { VersionCorruptError } from "../../errors/index.js";

/** Bound on an uncompressed sheet. */
const maximumSheetBytes = 64_000_000;

export function compressSheet(sheet: string): Uint8Array {
    return gzipSync(Buffer.from(sheet, "utf8"));
}

export function decompressSheet(compressedSheet: Uint8Array): string {
    try {
        return gunzipSync(compressedSheet, { maxOutputLength: maximumSheetBytes }).toString("utf8");
    }
    catch (error) {
        throw new VersionCorruptError("The sheet of a version", error);
    }
}
