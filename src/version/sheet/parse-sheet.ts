/** Parses a sheet into typed rows and checks everything that can be wrong with it. */
import type { z } from "zod";
import { type SheetFault, SheetInvalidError } from "../../errors/index.js";
import { findReferenceFaults } from "./cross-references.js";
import { commentColumn, isRowKind, kindColumn, type RowKind, rowKinds, rowSchemas } from "./kinds.js";
import { readTable, type TableRow } from "./table.js";

/** A row of one kind, with its number in the sheet. */
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
    faults.push(...findReferenceFaults(typedRows, namesOf(table.rows)));
    if (faults.length > 0) {
        throw new SheetInvalidError(faults.sort((left, right) => left.row - right.row));
    }
    return typedRows;
}

/** The names of each kind's rows, those with faults included, so that one fault does not cause others. */
export type NamesByKind = ReadonlyMap<string, ReadonlySet<string>>;

function namesOf(rows: readonly TableRow[]): NamesByKind {
    const names = new Map<string, Set<string>>();
    for (const row of rows) {
        const ofKind = names.get(row.kind) ?? new Set();
        ofKind.add(row.cells.get("name") ?? "");
        names.set(row.kind, ofKind);
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

/** The row's values, or nothing if a cell has a fault. */
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
