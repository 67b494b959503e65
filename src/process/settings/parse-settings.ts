/** Reads a router's settings file. */
import { readTextFile } from "../../common/read-text-file.js";
import { parseAndValidate } from "./parse-and-validate.js";
import { type RouterSettings, routerSettingsSchema } from "./schema.js";

/** Reads and validates a settings file. Throws an UnreadableFileError or an InvalidSettingsError. */
export async function readSettings(file: string): Promise<RouterSettings> {
    return parseSettings(await readTextFile(file), file);
}

/** Parses and validates the text of a settings file. Throws an InvalidSettingsError that lists every fault. */
export function parseSettings(text: string, file: string): RouterSettings {
    return parseAndValidate(text, file, routerSettingsSchema);
}
