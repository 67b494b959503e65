/** Reads a router's settings file. */
import { readTextFile } from "../../common/read-text-file.js";
import { parseAndValidate } from "./parse-checked.js";
import { type RouterSettings, routerSettingsSchema } from "./schema.js";

/** Reads and validates a file. Throws UnreadableFileError or InvalidSettingsError. */
export async function readSettings(file: string): Promise<RouterSettings> {
    return parseSettings(await readTextFile(file), file);
}

/** Validates a text. Throws InvalidSettingsError with every fault. */
export function parseSettings(text: string, file: string): RouterSettings {
    return parseAndValidate(text, file, routerSettingsSchema);
}
