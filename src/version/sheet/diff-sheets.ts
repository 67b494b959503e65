/** Compares two sheets row by row, whatever the order of their rows and columns. */
import { RowChange, type RowDifference } from "../../domain/sheet-difference.js";
import { commentColumn } from "./kinds.js";
import { readTable, type TableRow } from "./table.js";

/** The rows that differ, in the order of the sheets. Comments are not compared. */
export function diffSheets(before: string, after: string): RowDifference[] {
    const oldRows = indexRows(before);
    const newRows = indexRows(after);
    const removed = [...oldRows].filter(([identity]) => !newRows.has(identity))
        .map(([, row]) => describe(row, RowChange.removed));
    const others = [...newRows].flatMap(([identity, row]) => {
        const old = oldRows.get(identity);
        return old === undefined ? [describe(row, RowChange.added)] : compareRows(old, row);
    });
    return [...removed, ...others];
}

/** What names a row of any kind: its name, or both ends of a link. */
function nameOf(row: TableRow): string {
    if (row.kind === "link") {
        return `${row.cells.get("from")} to ${row.cells.get("to")}`;
    }
    const region = row.cells.get("region");
    const name = row.cells.get("name") ?? row.kind;
    return region === undefined ? name : `${region}/${name}`;
}

function indexRows(sheet: string): Map<string, TableRow> {
    return new Map(readTable(sheet).rows.map(row => [`${row.kind} ${nameOf(row)}`, row]));
}

function describe(row: TableRow, change: RowChange): RowDifference {
    return { kind: row.kind, name: nameOf(row), change, cells: [] };
}

function compareRows(before: TableRow, after: TableRow): RowDifference[] {
    const columns = new Set([...before.cells.keys(), ...after.cells.keys()]);
    columns.delete(commentColumn);
    const cells = [...columns]
        .map(column => ({
            column,
            before: before.cells.get(column) ?? "",
            after: after.cells.get(column) ?? "",
        }))
        .filter(cell => cell.before !== cell.after);
    return cells.length === 0 ? [] : [{ ...describe(after, RowChange.changed), cells }];
}
