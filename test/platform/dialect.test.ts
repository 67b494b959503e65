import { expect, test } from "@jest/globals";
import { platformDialect } from "../../platform/dialect.js";

const parse = (value: string | undefined) => platformDialect.parseSharedPromptParts(value);

test("all parts of a prompt but the last are shared, whatever their spelling", () => {
    expect(parse("5C1e07a2:800, 91bd3f06:410,e4402b7d:250")).toEqual(["5c1e07a2", "91bd3f06"]);
    expect(parse("a1:1,b2:1,a1:1,c3:1")).toEqual(["a1", "b2"]);
    expect(parse("a1:1")).toEqual([]);
});

test.each([undefined, "", "a1:1,,b2:1", "a1,b2:1", "g1:1,b2:1", "a1:1,b2:x", `${"a".repeat(65)}:1,b2:1`])(
    "the malformed prompt parts %j are none",
    value => {
        expect(parse(value)).toEqual([]);
    },
);

test("a prompt has a limited number of shared parts", () => {
    expect(parse(Array.from({ length: 1_000 }, (_value, index) => `${index}:1`).join(","))).toHaveLength(32);
});
