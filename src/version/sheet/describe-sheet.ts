/** Generates docs/SHEET.md from the schema, so that the page always matches the checks. */
import type { z } from "zod";
import { type CellMetadata, getCellMetadata } from "./cells.js";
import { commentColumn, kindColumn, type RowKind, rowKinds, rowSchemas } from "./kinds.js";

const introduction = `# The sheet

The sheet is a CSV file with a header row, which can be exported from a spreadsheet. Each row describes one object,
such as a model or a customer, and its \`${kindColumn}\` column gives the kind of object. Leave columns that a kind
does not use empty. Blank rows are skipped, rows may be in any order, and the \`${commentColumn}\` column is free text
that is not evaluated.

\`pomelostall sheet check FILE\` reports all faults at once. Each fault gives the row number as in a spreadsheet (the
header is row 1), the column, the value found and the accepted values. No part of a sheet with a fault takes effect.
Samples: examples/haddow.csv and examples/kanuri.csv.

The sheet contains customers' keys only as SHA-256 hashes. To compute the hash of a key:
\`printf %s KEY | sha256sum\`.

Names must be unique within a kind; an availability zone's name must be unique within its region. Every model and
customer that a row refers to must have a row of its own, and a route's adapter must be listed in the row of its model.
Each pair of availability zones must be matched by a link row, which names both or uses \`REGION/*\` or \`*\`; if
several rows match, the most specific one applies. Links inside an availability zone without a row of their own have a
latency of 0.1 ms and a throughput of 1,250 megabytes per second. Without a \`weight-store\` row, the rate of the
weight store is 100 megabytes per second.
`;

/** Returns the page as Markdown. */
export function describeSheet(): string {
    return [introduction, ...rowKinds.map(describeKind)].join("\n");
}

function describeKind(kind: RowKind): string {
    const cells: Readonly<Record<string, z.ZodType>> = rowSchemas[kind].shape;
    const rows = Object.entries(cells).map(([column, cell]) => describeCell(column, getCellMetadata(cell)));
    return `## ${kind}\n\n| column | meaning | accepted | empty means |\n| --- | --- | --- | --- |\n${
        rows.join("\n")
    }\n`;
}

function describeCell(column: string, metadata: CellMetadata): string {
    const empty = metadata.default === undefined ? "not allowed" : metadata.default === "" ? "none" : metadata.default;
    return `| ${column} | ${metadata.description} | ${metadata.accepted} | ${empty} |`;
}
