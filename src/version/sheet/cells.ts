/** Schemas of the sheet's cells. Each schema carries a description of the cell and of its accepted values. */
import { z } from "zod";

/** Texts about a cell for the documentation and for faults. */
export interface CellMetadata {
    readonly description: string;
    readonly accepted: string;
    /** Text that is used for an empty cell; undefined if the cell must not be empty. */
    readonly default?: string;
}

type Cell<Value> = z.ZodType<Value, string | undefined>;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const nameAccepted = "letters, digits, '.', '_' and '-', starting with a letter or digit";
const hashPattern = /^[0-9a-f]{64}$/;
const listSeparator = ";";

/** Attaches the metadata and applies the default to an empty cell. A fault's message is the `accepted` text. */
function withMetadata<Value>(cell: z.ZodType<Value, string>, metadata: CellMetadata): Cell<Value> {
    const cellWithDefault = z.string().optional().transform((text, context) => {
        const parsed = cell.safeParse(text ?? metadata.default ?? "");
        if (!parsed.success) {
            context.addIssue({ code: "custom", message: metadata.accepted });
            return z.NEVER;
        }
        return parsed.data;
    });
    return cellWithDefault.meta({ ...metadata });
}

/** Returns the metadata of a cell schema that was created by this module. */
export function getCellMetadata(cell: z.ZodType): CellMetadata {
    return cell.meta() as unknown as CellMetadata;
}

export function nameCell(description: string): Cell<string> {
    return withMetadata(z.string().regex(namePattern), { description, accepted: nameAccepted });
}

export function optionalNameCell(description: string): Cell<string | undefined> {
    const cell = z.string().regex(/^$|^[A-Za-z0-9][A-Za-z0-9._-]*$/).transform(text => text === "" ? undefined : text);
    return withMetadata(cell, { description, accepted: `${nameAccepted}, or nothing`, default: "" });
}

/** A list of names separated by semicolons, possibly empty. */
export function nameListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(splitList).refine(names => names.every(name => namePattern.test(name)));
    return withMetadata(cell, {
        description,
        accepted: `names separated by '${listSeparator}', or nothing`,
        default: "",
    });
}

/** A list of at least one SHA-256 hash, separated by semicolons. */
export function hashListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(splitList)
        .refine(hashes => hashes.length > 0 && hashes.every(hash => hashPattern.test(hash)));
    return withMetadata(cell, {
        description,
        accepted: `SHA-256 hashes of 64 lower-case hexadecimal digits, separated by '${listSeparator}'`,
    });
}

export interface NumberRange {
    readonly minimum: number;
    readonly maximum: number;
    readonly default?: number;
}

export function integerCell(description: string, range: NumberRange): Cell<number> {
    return createNumberCell("a whole number", /^\d+$/, description, range);
}

export function numberCell(description: string, range: NumberRange): Cell<number> {
    return createNumberCell("a number", /^\d+(\.\d+)?$/, description, range);
}

function createNumberCell(noun: string, pattern: RegExp, description: string, range: NumberRange): Cell<number> {
    const cell = z.string().regex(pattern).transform(Number)
        .refine(value => value >= range.minimum && value <= range.maximum);
    return withMetadata(cell, {
        description,
        accepted: `${noun} from ${range.minimum} to ${range.maximum}`,
        default: range.default === undefined ? undefined : String(range.default),
    });
}

export function booleanCell(description: string): Cell<boolean> {
    const cell = z.enum(["yes", "no"]).transform(text => text === "yes");
    return withMetadata(cell as unknown as z.ZodType<boolean, string>, { description, accepted: "yes or no" });
}

const methods = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/** A list of HTTP methods separated by semicolons, possibly empty. The case is ignored. */
export function methodListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(text => splitList(text.toUpperCase()))
        .refine(names => names.every(name => methods.includes(name)));
    return withMetadata(cell, {
        description,
        accepted: `some of ${methods.join(", ")}, separated by '${listSeparator}', or nothing`,
        default: "",
    });
}

const locationPattern = /^(\*|[A-Za-z0-9][A-Za-z0-9._-]*\/(\*|[A-Za-z0-9][A-Za-z0-9._-]*))$/;

/** A location or a pattern of locations: `region/availability-zone`, `region/*` or `*`. */
export function locationCell(description: string): Cell<string> {
    return withMetadata(z.string().regex(locationPattern), {
        description,
        accepted: "REGION/AVAILABILITY-ZONE, REGION/* or *",
    });
}

function splitList(text: string): string[] {
    return text.split(listSeparator).map(item => item.trim()).filter(item => item !== "");
}
