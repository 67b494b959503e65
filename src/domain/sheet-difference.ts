/** Differences between two configuration sheets, by row. */

export const RowChange = { added: "added", removed: "removed", changed: "changed" } as const;
export type RowChange = typeof RowChange[keyof typeof RowChange];

export interface CellDifference {
    readonly column: string;
    readonly before: string;
    readonly after: string;
}

/** A row that was added, removed or changed. */
export interface RowDifference {
    readonly kind: string;
    readonly name: string;
    readonly change: RowChange;
    /** The cells that differ, if the row exists in both sheets. */
    readonly cells: readonly CellDifference[];
}
