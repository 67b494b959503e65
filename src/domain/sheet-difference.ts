/** What differs between two sheets, row by row. */

export const RowChange = { added: "added", removed: "removed", changed: "changed" } as const;
export type RowChange = typeof RowChange[keyof typeof RowChange];

export interface CellDifference {
    readonly column: string;
    readonly before: string;
    readonly after: string;
}

/** A row that is not the same in both sheets. */
export interface RowDifference {
    readonly kind: string;
    readonly name: string;
    readonly change: RowChange;
    /** The cells that differ, for rows that stand in both sheets. */
    readonly cells: readonly CellDifference[];
}
