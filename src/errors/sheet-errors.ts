/** Errors of the sheet, the CSV file in which operators describe the configuration. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

/** One fault in a sheet. */
export interface SheetFault {
    /** Row number as in a spreadsheet: the header is row 1. */
    readonly row: number;
    readonly column: string;
    /** Text of the cell. */
    readonly found: string;
    /** Description of the accepted values. */
    readonly accepted: string;
}

const sheetInvalidDefinition = defineError({
    code: "sheet-invalid",
    title: "The sheet is invalid",
    hint: "Correct every row listed. No part of an invalid sheet takes effect. See docs/SHEET.md.",
    status: 400,
});

/** The sheet has at least one fault; the error lists all of them. */
export class SheetInvalidError extends PomelostallError {
    constructor(readonly faults: readonly SheetFault[]) {
        super(
            sheetInvalidDefinition,
            `The sheet has ${faults.length} fault(s):\n${faults.map(formatFault).join("\n")}`,
        );
    }
}

/** Formats one fault as one line of text. */
export function formatFault(fault: SheetFault): string {
    const found = fault.found === "" ? "an empty cell" : `"${fault.found}"`;
    return `row ${fault.row}, column ${fault.column}: found ${found}; accepted: ${fault.accepted}`;
}

const sheetFileUnreadableDefinition = defineError({
    code: "sheet-file-unreadable",
    title: "The sheet's file cannot be read",
    hint: "Check the file's path and permissions.",
});

/** The file of a sheet cannot be read. */
export class SheetFileError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(sheetFileUnreadableDefinition, message, { cause });
    }
}
