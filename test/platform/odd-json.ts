/** Arbitraries of JSON texts that another writer could leave where sound ones are expected. */
import fc from "fast-check";

/** JSON numbers at and beyond the limits of what messages hold; some of them are infinite once they are parsed. */
export const oddNumber: fc.Arbitrary<string> = fc.oneof(
    fc.constantFrom(
        "1e999",
        "-1e999",
        "1e308",
        "-1e308",
        "-1",
        "-0",
        "0",
        "0.5",
        "-2.5",
        "7.25",
        "65536",
        "2147483648",
    ),
    fc.constantFrom("9007199254740993", "1e16", "5e-324", "99999"),
    fc.integer().map(String),
    fc.double({ noNaN: true, noDefaultInfinity: true }).map(String),
);
const oddString = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.constantFrom("", "__proto__", "constructor", "\u0000", "a\r\nX: b", "\u0100", "x".repeat(5_000)),
    fc.constantFrom("10.0.0.1:99999", "10.0.0.1:0", "300.0.0.1:80", "010.0.0.1:80", "10.0.0.1", "::1:80"),
).map(text => JSON.stringify(text));
/** Deeper than a recursive function can follow. */
const deepNesting = fc.constantFrom(
    `${"[".repeat(30_000)}${"]".repeat(30_000)}`,
    `${'{"a":'.repeat(30_000)}1${"}".repeat(30_000)}`,
);

const scalar = fc.oneof(oddNumber, oddString, fc.constantFrom("null", "true", "false"));

/** The text of any JSON value. */
export const oddJson: fc.Arbitrary<string> = fc.oneof(
    { weight: 8, arbitrary: scalar },
    { weight: 1, arbitrary: deepNesting },
    { weight: 2, arbitrary: fc.array(scalar, { maxLength: 4 }).map(items => `[${items.join(",")}]`) },
    {
        weight: 2,
        arbitrary: fc.array(fc.tuple(oddString, scalar), { maxLength: 4 })
            .map(fields => `{${fields.map(([key, value]) => `${key}:${value}`).join(",")}}`),
    },
);

/** One path into a JSON value: the keys and indices from its root. */
type JsonPath = readonly (string | number)[];

/** A sound value in which a few values at any depth are replaced by odd ones or left out, as JSON text. */
export function withOddValues(sound: unknown): fc.Arbitrary<string> {
    const change = fc.constantFrom(...listPlaces(sound, []))
        .chain(({ path, value }) => fc.tuple(fc.constant(path), replacementOf(value)));
    return fc.array(change, { minLength: 1, maxLength: 3 })
        .map(changes => format(sound, [], new Map(changes.map(([path, text]) => [path.join("/"), text]))) ?? "null");
}

interface Place {
    readonly path: JsonPath;
    readonly value: unknown;
}

function listPlaces(value: unknown, path: JsonPath): Place[] {
    const children = typeof value === "object" && value !== null ? Object.entries(value) : [];
    return [{ path, value }, ...children.flatMap(([key, child]) => listPlaces(child, [...path, key]))];
}

/** Mostly of the type of the sound value, since another type is rejected early; undefined leaves the value out. */
function replacementOf(value: unknown): fc.Arbitrary<string | undefined> {
    const sameType = typeof value === "number" ? oddNumber : typeof value === "string" ? oddString : oddJson;
    return fc.oneof(
        { weight: 8, arbitrary: sameType },
        { weight: 1, arbitrary: oddJson },
        { weight: 1, arbitrary: fc.constant(undefined) },
    );
}

/** Undefined for a value that is left out. */
function format(value: unknown, path: JsonPath, changes: ReadonlyMap<string, string | undefined>): string | undefined {
    const key = path.join("/");
    if (changes.has(key)) {
        return changes.get(key);
    }
    if (Array.isArray(value)) {
        return `[${value.flatMap((item, index) => format(item, [...path, index], changes) ?? []).join(",")}]`;
    }
    if (typeof value !== "object" || value === null) {
        return JSON.stringify(value);
    }
    const fields = Object.entries(value).flatMap(([name, child]) => {
        const text = format(child, [...path, name], changes);
        return text === undefined ? [] : [`${JSON.stringify(name)}:${text}`];
    });
    return `{${fields.join(",")}}`;
}
