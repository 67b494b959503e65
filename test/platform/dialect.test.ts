import { expect, test } from "@jest/globals";
import { platformDialect } from "../../platform/dialect.js";

const parse = (value: string | undefined) => platformDialect.parseSharedPromptParts(value);

test("all parts of a prompt but the last are shared, whatever their spelling", () => {
    expect(parse("5C1e07a2:800, 91bd3f06:410,e4402b7d:250")).toEqual(["5c1e07a2", "91bd3f06"]);
    expect(parse("a1:1,b2:1,a1:1,c3:1")).toEqual(["a1", "b2"]);
    expect(parse("a1:1")).toEqual([]);
});

test.each([undefined, "", " ", "a1", "a1:1", "a1:1,", ",a1:1"])("the prompt %j has no shared parts", value => {
    expect(parse(value)).toEqual([]);
});

// One part of another form made the router forget all parts of the prompt.
test.each(["a1:1,,b2:1,c3:1", "a1,b2:1,c3:1", "a1:,b2:x,c3:1", "a1:1,b2:1,c3:x", "a1:1,b2:1,,c3:1,"])(
    "the well-formed parts of %j are told apart",
    value => {
        expect(parse(value)[0]).toBe("a1");
        expect(parse(value)).toHaveLength(2);
    },
);

test.each(["g1", "b2:x", "a b", "\u00e4", "a".repeat(65), "../b2", "a1:1:1"])(
    "the part %j has an ID of its own, the same in each prompt",
    odd => {
        const [id] = parse(`${odd}:5,c3:1`);
        expect(id).toMatch(/^[0-9a-f]{64}$/);
        expect(parse(`a1:1,${odd}:7,b2:1,c3:1`)).toEqual(["a1", id, "b2"]);
    },
);

// A part beyond the 32nd left no evidence and could not be blocked.
test("all parts of a prompt are told apart, however many there are", () => {
    const ids = Array.from({ length: 5_000 }, (_value, index) => index.toString(16));
    expect(parse([...ids, "own"].map(id => `${id}:1`).join(","))).toEqual(ids);
});
