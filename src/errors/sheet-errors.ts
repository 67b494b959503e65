/** Errors of the operators' sheet. */
import { defineError, PomelostallError } from "./pomelostall-error.js";

/** One fault in a sheet. */
export interface SheetFault {
    /** Row as a spreadsheet counts it: the header is row 1. */
    readonly row: number;
    readonly column: string;
    /** What stood in the cell. */
    readonly found: string;
    /** What would be accepted there. */
    readonly accepted: string;
}

const sheetInvalidDefinition = defineError({
    code: "sheet-invalid",
    title: "The sheet has faults",
    hint: "Correct every row that is listed. Nothing of a faulty sheet takes effect. See docs/SHEET.md.",
    status: 400,
});

/** A sheet with at least one fault; carries all of them. */
export class SheetInvalidError extends PomelostallError {
    constructor(readonly faults: readonly SheetFault[]) {
        super(
            sheetInvalidDefinition,
            `The sheet has ${faults.length} fault(s):\n${faults.map(formatFault).join("\n")}`,
        );
    }
}

/** One line for one fault. */
export function formatFault(fault: SheetFault): string {
    const found = fault.found === "" ? "an empty cell" : `"${fault.found}"`;
    return `row ${fault.row}, column ${fault.column}: found ${found}; accepted: ${fault.accepted}`;
}

const sheetFileDefinition = defineError({
    code: "sheet-file-unreadable",
    title: "The sheet's file cannot be read",
    hint: "Check the file's name and its permissions.",
});

/** A sheet's file that cannot be read. */
export class SheetFileError extends PomelostallError {
    constructor(message: string, cause?: unknown) {
        super(sheetFileDefinition, message, { cause });
    }
}
