/** Errors of the settings file and of other files that operators name. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const invalidSettingsDefinition = defineError({
    code: "invalid-settings",
    title: "The settings file is invalid",
    hint:
        "Correct every fault listed. docs/SETTINGS.md lists the fields; 'pomelostall settings sample' prints a sample.",
});

/** One fault in a settings file. Lines and columns count from 1. */
export interface SettingsFault {
    readonly line: number;
    readonly column: number;
    /** Path of the field in the file, such as callers.port. */
    readonly field: string;
    /** The value found, as JSON, truncated. */
    readonly found: string;
    /** Description of the accepted values. */
    readonly accepted: string;
}

/** The settings file has at least one fault; the error lists all of them. */
export class InvalidSettingsError extends PomelostallError {
    constructor(readonly file: string, readonly faults: readonly SettingsFault[]) {
        super(
            invalidSettingsDefinition,
            [`${file} has ${faults.length} fault(s):`, ...faults.map(formatFault)].join("\n"),
        );
    }
}

function formatFault(fault: SettingsFault): string {
    return `  ${fault.line}:${fault.column} ${fault.field}: found ${fault.found}; accepted: ${fault.accepted}`;
}

const unreadableFileDefinition = defineError({
    code: "unreadable-file",
    title: "A file cannot be read",
    hint: "Check the file's path and permissions.",
});

/** A file that is named on the command line or in the settings cannot be read. */
export class UnreadableFileError extends PomelostallError {
    constructor(file: string, cause: unknown) {
        super(unreadableFileDefinition, `${file} cannot be read: ${String(cause)}.`, { cause });
    }
}
