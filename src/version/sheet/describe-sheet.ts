/** Writes docs/SHEET.md from the schema, so that the page can't differ from what is checked. */
import type { z } from "zod";
import { type CellNotes, notesOf } from "./cells.js";
import { commentColumn, kindColumn, type RowKind, rowKinds, rowSchemas } from "./kinds.js";

const introduction = `# The sheet

The sheet is a CSV file with a header row, as a spreadsheet exports it. Each row describes one thing, and its \`${kindColumn}\`
column tells which kind of thing. Columns that a kind does not use stay empty. Blank rows are skipped, rows may come in any
order, and the \`${commentColumn}\` column is free text that nothing reads.

\`pomelostall sheet check FILE\` reports every fault at once, with the row as the spreadsheet counts it (the header is row
1), the column, what stood there and what is accepted. Nothing of a sheet with a fault takes effect. Samples:
examples/haddow.csv and examples/kanuri.csv.

Keys of customers stand in the sheet as SHA-256 hashes only. To make the hash of a key:
\`printf %s KEY | sha256sum\`.

A row's name appears once in its kind. A route's model and adapter, and customers wherever they are listed, must have rows
of their own. Every two availability zones need a link: a row that names both, or one with \`REGION/*\` or \`*\`; the row that
names them most closely counts. A link without a row inside an availability zone has 0.1 ms and 1,250 megabytes a second.
Without a \`weight-store\` row its rate is 100 megabytes a second.
`;

/** The page as Markdown. */
export function describeSheet(): string {
    return [introduction, ...rowKinds.map(describeKind)].join("\n");
}

function describeKind(kind: RowKind): string {
    const cells: Readonly<Record<string, z.ZodType>> = rowSchemas[kind].shape;
    const rows = Object.entries(cells).map(([column, cell]) => describeCell(column, notesOf(cell)));
    return `## ${kind}\n\n| column | meaning | accepted | empty means |\n| --- | --- | --- | --- |\n${
        rows.join("\n")
    }\n`;
}

function describeCell(column: string, notes: CellNotes): string {
    const empty = notes.default === undefined ? "not allowed" : notes.default === "" ? "none" : notes.default;
    return `| ${column} | ${notes.description} | ${notes.accepted} | ${empty} |`;
}
