/** Parses CSV into rows of named cells. Row numbers are those of a spreadsheet: the header is row 1. */
import { CsvError, parse } from "csv-parse/sync";
import type { SheetFault } from "../../errors/index.js";
import { allColumns, kindColumn } from "./kinds.js";

/** A row that is not blank. */
export interface TableRow {
    readonly row: number;
    readonly kind: string;
    /** The non-empty cells by column, except for the kind. */
    readonly cells: ReadonlyMap<string, string>;
}

export interface Table {
    readonly rows: readonly TableRow[];
    readonly faults: readonly SheetFault[];
}

const headerRow = 1;

/** Parses the sheet. Returns faults in the CSV syntax or the header together with the rows that could be parsed. */
export function readTable(sheet: string): Table {
    const faults: SheetFault[] = [];
    const records = readRecords(sheet, faults);
    const [header, ...body] = records;
    if (header === undefined) {
        return { rows: [], faults: [...faults, missingKindColumnFault()] };
    }
    checkHeader(header, faults);
    const rows = body.flatMap((record, index) => {
        const row = readRow(header, record, index + headerRow + 1, faults);
        return row === undefined ? [] : [row];
    });
    return { rows, faults };
}

function readRecords(sheet: string, faults: SheetFault[]): string[][] {
    try {
        return parse(sheet, { bom: true, trim: true, relax_column_count: true });
    }
    catch (error) {
        if (!(error instanceof CsvError)) {
            throw error;
        }
        const row = Number(error["lines"] ?? headerRow);
        faults.push({
            row,
            column: typeof error["column"] === "string" ? error["column"] : "",
            found: error.message,
            accepted: "CSV with every quoted cell closed",
        });
        // A valid header without rows, so that the syntax fault is the only one reported.
        return [[kindColumn]];
    }
}

function missingKindColumnFault(): SheetFault {
    return { row: headerRow, column: kindColumn, found: "", accepted: `a header row with the column ${kindColumn}` };
}

function checkHeader(header: readonly string[], faults: SheetFault[]): void {
    if (!header.includes(kindColumn)) {
        faults.push(missingKindColumnFault());
    }
    header.forEach((column, index) => {
        if (column !== "" && !allColumns.includes(column)) {
            faults.push({ row: headerRow, column, found: column, accepted: `one of ${allColumns.join(", ")}` });
        }
        else if (column !== "" && header.indexOf(column) !== index) {
            faults.push({ row: headerRow, column, found: column, accepted: "each column once" });
        }
    });
}

function readRow(
    header: readonly string[],
    record: readonly string[],
    row: number,
    faults: SheetFault[],
): TableRow | undefined {
    const cells = new Map<string, string>();
    record.forEach((cell, index) => {
        const column = header[index] ?? "";
        if (cell === "") {
            return;
        }
        if (column === "") {
            faults.push({ row, column: `number ${index + 1}`, found: cell, accepted: "nothing without a column name" });
        }
        else {
            cells.set(column, cell);
        }
    });
    if (cells.size === 0) {
        return undefined;
    }
    const kind = cells.get(kindColumn) ?? "";
    cells.delete(kindColumn);
    return { row, kind, cells };
}
