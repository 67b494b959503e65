/** Generates documentation of the settings from their schema: the table in docs/SETTINGS.md and a sample file. */
import { z } from "zod";
import { routerSettingsSchema } from "./schema.js";

/** The JSON Schema keywords that the generators use. */
interface FieldSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly unknown[];
    readonly minimum?: number;
    readonly maximum?: number;
    readonly properties?: Readonly<Record<string, FieldSchema>>;
    readonly required?: readonly string[];
}

/** Sample values of required fields, by path. */
const sampleValues: Readonly<Record<string, unknown>> = {
    "router.id": "router-perth-1",
    "router.region": "perth",
    "router.availabilityZone": "perth-a",
    "platform.keyValueAddresses": ["http://127.0.0.1:2379"],
    "platform.vmListAddresses": ["http://127.0.0.1:2379"],
};

const indent = "    ";

function settingsSchema(): FieldSchema {
    return z.toJSONSchema(routerSettingsSchema, { io: "input" }) as FieldSchema;
}

/** Renders the content of docs/SETTINGS.md. */
const gatewayLimitRows = [
    "| limits.heldMemoryMegabytes | number above 0, less than machine.memoryMegabytes | a quarter of the memory beyond 64 MB, at "
    + "least 8 | Held at once for bodies, responses and messages of other processes. Beyond it, the largest and slowest end. |",
    "| limits.maximumConnections | number above 0, less than machine.maximumDescriptors | half of machine.maximumDescriptors | "
    + "Connections of callers; idle ones are closed from nine tenths of it on. |",
    "| limits.maximumPipelinedRequests | number above 0 | 32 | Requests in flight on one connection; further ones get 503, and "
    + "the connection closes at twice the number. |",
    "| (not a setting) | | 35% of machine.maximumDescriptors | Requests in flight; further ones get 503. |",
    "| (published configuration) | limits.header_timeout_ms | | Longest time between two parts of a body; then 408. |",
    "| (published configuration) | limits.idle_timeout_ms | | Time in which a caller must take a part of a response; then its "
    + "connection closes. |",
];

export function renderSettingsReference(): string {
    const rows: string[] = [];
    collectRows(settingsSchema(), "", rows);
    return [
        "# Settings",
        "",
        "Generated from src/process/settings/schema.ts by `npm run docs:generate`.",
        "",
        "`pomelostall router --settings FILE` reads one file of JSON with comments. It contains what the process",
        "needs before it can reach other services; what may change at run time is in the sheet (docs/SHEET.md).",
        "`pomelostall settings check FILE` reports all faults with line and column, and `pomelostall settings sample`",
        "prints a commented file to start from.",
        "",
        "| field | values | default | meaning |",
        "| --- | --- | --- | --- |",
        ...rows,
        "",
        "## Limits of a gateway",
        "",
        "Optional fields of `limits` in the settings file of a gateway (`deploy/router-settings.jsonc`); checked at the start.",
        "",
        "| field | values | default | meaning |",
        "| --- | --- | --- | --- |",
        ...gatewayLimitRows,
        "",
    ].join("\n");
}

function collectRows(schema: FieldSchema, prefix: string, rows: string[]): void {
    for (const [name, field] of Object.entries(schema.properties ?? {})) {
        const path = prefix === "" ? name : `${prefix}.${name}`;
        if (field.properties !== undefined) {
            rows.push(`| **${path}** | object | | ${field.description ?? ""} |`);
            collectRows(field, path, rows);
            continue;
        }
        const required = schema.required?.includes(name) === true;
        const defaultText = field.default === undefined
            ? (required ? "required" : "none")
            : `\`${JSON.stringify(field.default)}\``;
        rows.push(`| ${path} | ${describeValues(field)} | ${defaultText} | ${field.description ?? ""} |`);
    }
}

function describeValues(field: FieldSchema): string {
    if (field.enum !== undefined) {
        return field.enum.map(value => `\`${String(value)}\``).join(", ");
    }
    const minimum = field.minimum === undefined ? "" : ` from ${field.minimum}`;
    const maximum = field.maximum === undefined || field.maximum === Number.MAX_SAFE_INTEGER
        ? ""
        : ` to ${field.maximum}`;
    return `${field.type ?? "any"}${minimum}${maximum}`;
}

/** Renders a commented settings file that is valid as printed; optional fields without a default are commented out. */
export function renderSampleSettings(): string {
    return [
        "// Settings of one pomelostall router. Fields with a default may be left out.",
        ...renderObject(settingsSchema(), "", ""),
        "",
    ]
        .join("\n");
}

function renderObject(schema: FieldSchema, prefix: string, margin: string): string[] {
    const innerMargin = margin + indent;
    const lines = [`${margin}{`];
    for (const [name, field] of Object.entries(schema.properties ?? {})) {
        const path = prefix === "" ? name : `${prefix}.${name}`;
        lines.push(`${innerMargin}// ${field.description ?? name}`);
        lines.push(...renderField(name, field, path, innerMargin, isCommentedOut(schema, name, field)));
    }
    lines.push(`${margin}}`);
    return lines;
}

function renderField(name: string, field: FieldSchema, path: string, margin: string, commentedOut: boolean): string[] {
    if (field.properties === undefined) {
        const value = sampleValues[path] ?? field.default ?? "";
        return [`${margin}${commentedOut ? "// " : ""}"${name}": ${JSON.stringify(value)},`];
    }
    const [, ...rest] = renderObject(field, path, margin);
    const lines = [`${margin}"${name}": {`, ...rest.slice(0, -1), `${margin}},`];
    return commentedOut ? lines.map(line => `${margin}// ${line.slice(margin.length)}`) : lines;
}

function isCommentedOut(schema: FieldSchema, name: string, field: FieldSchema): boolean {
    const hasDefault = field.default !== undefined
        || field.properties !== undefined && name !== "tls" && name !== "metrics";
    return schema.required?.includes(name) !== true && !hasDefault;
}
