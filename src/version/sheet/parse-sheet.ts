/** Parses a sheet into typed rows and validates the cells and the references between rows. */
import type { z } from "zod";
import { type SheetFault, SheetInvalidError } from "../../errors/index.js";
import { findCrossRowFaults } from "./cross-references.js";
import { commentColumn, isRowKind, kindColumn, type RowKind, rowKinds, rowSchemas } from "./kinds.js";
import { readTable, type TableRow } from "./table.js";

/** The values of a row of one kind, with its row number. */
export type SheetRow<Kind extends RowKind> = z.output<typeof rowSchemas[Kind]> & { readonly row: number; };

/** The rows of a sheet by kind. */
export type SheetRows = { readonly [Kind in RowKind]: readonly SheetRow<Kind>[]; };

/** Parses the CSV text. Throws a SheetInvalidError that lists every fault. */
export function parseSheet(sheet: string): SheetRows {
    const table = readTable(sheet);
    const faults: SheetFault[] = [...table.faults];
    const rows = Object.fromEntries(rowKinds.map(kind => [kind, [] as unknown[]])) as Record<RowKind, unknown[]>;
    for (const tableRow of table.rows) {
        if (isRowKind(tableRow.kind)) {
            const values = parseRow(tableRow.kind, tableRow, faults);
            rows[tableRow.kind].push(...values);
        }
        else {
            faults.push(unknownKindFault(tableRow));
        }
    }
    const typedRows = rows as unknown as SheetRows;
    faults.push(...findCrossRowFaults(typedRows, collectNames(table.rows)));
    if (faults.length > 0) {
        throw new SheetInvalidError(faults.sort((left, right) => left.row - right.row));
    }
    return typedRows;
}

/**
 * The names of all rows by kind. Rows with faults are included, so that a fault in one row does not cause faults in
 * the rows that refer to it.
 */
export type NamesByKind = ReadonlyMap<string, ReadonlySet<string>>;

function collectNames(rows: readonly TableRow[]): NamesByKind {
    const names = new Map<string, Set<string>>();
    for (const row of rows) {
        const kindNames = names.get(row.kind) ?? new Set();
        kindNames.add(row.cells.get("name") ?? "");
        names.set(row.kind, kindNames);
    }
    return names;
}

function unknownKindFault(tableRow: TableRow): SheetFault {
    return {
        row: tableRow.row,
        column: kindColumn,
        found: tableRow.kind,
        accepted: `one of ${rowKinds.join(", ")}`,
    };
}

/** Returns an array with the row's values, or an empty array if a cell is invalid. Adds every fault of the row. */
function parseRow(kind: RowKind, tableRow: TableRow, faults: SheetFault[]): object[] {
    const schema = rowSchemas[kind];
    const usedColumns = Object.keys(schema.shape);
    for (const [column, found] of tableRow.cells) {
        if (column !== commentColumn && !usedColumns.includes(column)) {
            faults.push({ row: tableRow.row, column, found, accepted: `nothing in a row of kind ${kind}` });
        }
    }
    const parsed = schema.safeParse(Object.fromEntries(tableRow.cells));
    if (parsed.success) {
        return [{ ...parsed.data, row: tableRow.row }];
    }
    for (const issue of parsed.error.issues) {
        const column = String(issue.path[0]);
        faults.push({
            row: tableRow.row,
            column,
            found: tableRow.cells.get(column) ?? "",
            accepted: issue.message,
        });
    }
    return [];
}
