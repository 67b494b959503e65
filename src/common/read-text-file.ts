/** Reads files that operators name. */
import { readFile } from "node:fs/promises";
import { UnreadableFileError } from "../errors/index.js";

/** The file's text. Rejects with an UnreadableFileError. */
export async function readTextFile(file: string | URL): Promise<string> {
    try {
        return await readFile(file, "utf8");
    }
    catch (error) {
        throw new UnreadableFileError(String(file), error);
    }
}
