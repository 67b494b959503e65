/** Parses JSON with comments and validates it against a schema, reporting all faults at once with their positions. */
import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { InvalidSettingsError, type SettingsFault } from "../../errors/index.js";

const maximumExcerptCharacters = 60;

/** The fields of a zod issue that are used here. */
export interface SchemaIssue {
    readonly code?: string;
    readonly message: string;
    readonly path: readonly PropertyKey[];
    readonly keys?: readonly string[];
}

/** The method that schemas of both `zod` and `zod/mini` offer. */
export interface ValidatingSchema<Value> {
    safeParse(value: unknown):
        | { readonly success: true; readonly data: Value; }
        | { readonly success: false; readonly error: { readonly issues: readonly unknown[]; }; };
}

/** Parses and validates a text. `file` is its name in errors. Throws InvalidSettingsError with every fault. */
export function parseAndValidate<Value>(text: string, file: string, schema: ValidatingSchema<Value>): Value {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || tree === undefined) {
        throw new InvalidSettingsError(file, syntaxFaults(text, errors));
    }
    const result = schema.safeParse(getNodeValue(tree));
    if (!result.success) {
        const faults = result.error.issues.flatMap(issue => schemaFaults(text, tree, issue as SchemaIssue));
        throw new InvalidSettingsError(file, faults);
    }
    return result.data;
}

function syntaxFaults(text: string, errors: readonly ParseError[]): SettingsFault[] {
    if (errors.length === 0) {
        return [{ line: 1, column: 1, field: "(file)", found: "nothing", accepted: "an object" }];
    }
    return errors.map(error => ({
        ...positionAt(text, error.offset),
        field: "(syntax)",
        found: truncate(text.slice(error.offset, error.offset + Math.max(1, error.length))),
        accepted: `JSON with comments (${printParseErrorCode(error.error)})`,
    }));
}

function schemaFaults(text: string, tree: Node, issue: SchemaIssue): SettingsFault[] {
    const path = issue.path as (string | number)[];
    if (issue.code === "unrecognized_keys") {
        return (issue.keys ?? []).map(key => unknownFieldFault(text, tree, [...path, key]));
    }
    const node = findNodeAtLocation(tree, path);
    const nearest = node ?? nearestNode(tree, path);
    return [{
        ...positionAt(text, nearest.offset),
        field: path.join(".") || "(file)",
        found: node === undefined ? "nothing" : truncate(JSON.stringify(getNodeValue(node))),
        accepted: issue.message,
    }];
}

function unknownFieldFault(text: string, tree: Node, path: (string | number)[]): SettingsFault {
    const node = findNodeAtLocation(tree, path);
    return {
        ...positionAt(text, node?.parent?.offset ?? 0),
        field: path.join("."),
        found: "an unknown field",
        accepted: "the fields that docs/SETTINGS.md lists",
    };
}

function nearestNode(tree: Node, path: (string | number)[]): Node {
    for (let length = path.length - 1; length > 0; length--) {
        const node = findNodeAtLocation(tree, path.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return tree;
}

function positionAt(text: string, offset: number): { line: number; column: number; } {
    const before = text.slice(0, offset).split("\n");
    return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}

function truncate(text: string): string {
    return text.length <= maximumExcerptCharacters ? text : `${text.slice(0, maximumExcerptCharacters)}...`;
}
