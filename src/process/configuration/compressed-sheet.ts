/**
 * Gzip compression of sheets for storage and for the transfer between routers. Uncompressed, a day's versions would
 * exceed the bandwidth that routers may spend on control traffic.
 */
import { gunzipSync, gzipSync } from "node:zlib";
import { VersionCorruptError } from "../../errors/index.js";

/** Maximum size of a decompressed sheet; larger ones are rejected as corrupt. */
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
