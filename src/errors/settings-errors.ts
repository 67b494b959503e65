/** Errors of the settings file. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

const invalidSettingsDefinition = defineError({
    code: "invalid-settings",
    title: "The settings cannot be used",
    hint:
        "Correct every place that is named. docs/SETTINGS.md lists the fields; 'pomelostall settings sample' prints a file.",
});

/** One fault in a settings file. Lines and columns count from 1. */
export interface SettingsFault {
    readonly line: number;
    readonly column: number;
    /** Where in the file, such as callers.port. */
    readonly field: string;
    /** What stood there, as JSON, shortened. */
    readonly found: string;
    /** What would be accepted. */
    readonly accepted: string;
}

/** A settings file with faults; all of them are listed. */
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
    hint: "Check the path and the permissions.",
});

/** A file named on the command line or in the settings that cannot be read. */
export class UnreadableFileError extends PomelostallError {
    constructor(file: string, cause: unknown) {
        super(unreadableFileDefinition, `${file} cannot be read: ${String(cause)}.`, { cause });
    }
}
