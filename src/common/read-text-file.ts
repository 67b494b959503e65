/** Reads files that are named on the command line or in the settings. */
import { readFile } from "node:fs/promises";
import { UnreadableFileError } from "../errors/index.js";

/** Reads a UTF-8 file. Rejects with UnreadableFileError if the file cannot be read. */
export async function readTextFile(file: string | URL): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (error) {
        throw new UnreadableFileError(String(file), error);
    }
}
