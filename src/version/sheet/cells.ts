/** Schemas of the sheet's cells. Each carries a description and the text of what it accepts. */
import { z } from "zod";

/** What documentation and fault reports say of a cell. */
export interface CellNotes {
    readonly description: string;
    readonly accepted: string;
    /** Value of an empty cell, as it would be typed. */
    readonly default?: string;
}

type Cell<Value> = z.ZodType<Value, string | undefined>;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
const nameAccepted = "letters, digits, '.', '_' and '-', starting with a letter or digit";
const hashPattern = /^[0-9a-f]{64}$/;
const listSeparator = ";";

/** Adds the notes, and the default for an empty cell. */
function withNotes<Value>(cell: z.ZodType<Value, string>, notes: CellNotes): Cell<Value> {
    const filled = z.string().optional().transform((text, context) => {
        const parsed = cell.safeParse(text ?? notes.default ?? "");
        if (!parsed.success) {
            context.addIssue({ code: "custom", message: notes.accepted });
            return z.NEVER;
        }
        return parsed.data;
    });
    return filled.meta({ ...notes });
}

/** The notes of a cell made by this module. */
export function notesOf(cell: z.ZodType): CellNotes {
    return cell.meta() as unknown as CellNotes;
}

export function nameCell(description: string): Cell<string> {
    return withNotes(z.string().regex(namePattern), { description, accepted: nameAccepted });
}

export function optionalNameCell(description: string): Cell<string | undefined> {
    const cell = z.string().regex(/^$|^[A-Za-z0-9][A-Za-z0-9._-]*$/).transform(text => text === "" ? undefined : text);
    return withNotes(cell, { description, accepted: `${nameAccepted}, or nothing`, default: "" });
}

/** Names separated by semicolons. */
export function nameListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(splitList).refine(names => names.every(name => namePattern.test(name)));
    return withNotes(cell, { description, accepted: `names separated by '${listSeparator}', or nothing`, default: "" });
}

/** SHA-256 hashes separated by semicolons. */
export function hashListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(splitList)
        .refine(hashes => hashes.length > 0 && hashes.every(hash => hashPattern.test(hash)));
    return withNotes(cell, {
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
    return numberCellOf("a whole number", /^\d+$/, description, range);
}

export function numberCell(description: string, range: NumberRange): Cell<number> {
    return numberCellOf("a number", /^\d+(\.\d+)?$/, description, range);
}

function numberCellOf(noun: string, pattern: RegExp, description: string, range: NumberRange): Cell<number> {
    const cell = z.string().regex(pattern).transform(Number)
        .refine(value => value >= range.minimum && value <= range.maximum);
    return withNotes(cell, {
        description,
        accepted: `${noun} from ${range.minimum} to ${range.maximum}`,
        default: range.default === undefined ? undefined : String(range.default),
    });
}

export function booleanCell(description: string): Cell<boolean> {
    const cell = z.enum(["yes", "no"]).transform(text => text === "yes");
    return withNotes(cell as unknown as z.ZodType<boolean, string>, { description, accepted: "yes or no" });
}

const methods = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/** HTTP methods separated by semicolons. */
export function methodListCell(description: string): Cell<readonly string[]> {
    const cell = z.string().transform(text => splitList(text.toUpperCase()))
        .refine(names => names.every(name => methods.includes(name)));
    return withNotes(cell, {
        description,
        accepted: `some of ${methods.join(", ")}, separated by '${listSeparator}', or nothing`,
        default: "",
    });
}

const locationPattern = /^(\*|[A-Za-z0-9][A-Za-z0-9._-]*\/(\*|[A-Za-z0-9][A-Za-z0-9._-]*))$/;

/** `region/availability-zone`, `region/*` or `*`. */
export function locationCell(description: string): Cell<string> {
    return withNotes(z.string().regex(locationPattern), {
        description,
        accepted: "REGION/AVAILABILITY-ZONE, REGION/* or *",
    });
}

function splitList(text: string): string[] {
    return text.split(listSeparator).map(item => item.trim()).filter(item => item !== "");
}
