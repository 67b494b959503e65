/** Compares two sheets row by row, independently of the order of their rows and columns. */
import { RowChange, type RowDifference } from "../../domain/sheet-difference.js";
import { commentColumn } from "./kinds.js";
import { readTable, type TableRow } from "./table.js";

/**
 * Returns the removed rows in the order of the old sheet, then the added and changed rows in the order of the new one.
 * The comment column is not compared, and faults in the sheets are ignored.
 */
export function diffSheets(before: string, after: string): RowDifference[] {
    const oldRows = indexRows(before);
    const newRows = indexRows(after);
    const removed = [...oldRows].filter(([identity]) => !newRows.has(identity))
        .map(([, row]) => createDifference(row, RowChange.removed));
    const others = [...newRows].flatMap(([identity, row]) => {
        const old = oldRows.get(identity);
        return old === undefined ? [createDifference(row, RowChange.added)] : compareRows(old, row);
    });
    return [...removed, ...others];
}

/** Returns a name that is unique in the kind: the row's name, prefixed with any region, or both ends of a link. */
function formatRowName(row: TableRow): string {
    if (row.kind === "link") {
        return `${row.cells.get("from")} to ${row.cells.get("to")}`;
    }
    const region = row.cells.get("region");
    const name = row.cells.get("name") ?? row.kind;
    return region === undefined ? name : `${region}/${name}`;
}

function indexRows(sheet: string): Map<string, TableRow> {
    return new Map(readTable(sheet).rows.map(row => [`${row.kind} ${formatRowName(row)}`, row]));
}

function createDifference(row: TableRow, change: RowChange): RowDifference {
    return { kind: row.kind, name: formatRowName(row), change, cells: [] };
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
    return cells.length === 0 ? [] : [{ ...createDifference(after, RowChange.changed), cells }];
}
