import { describe, expect, test } from "@jest/globals";
import type { LayerPath } from "../../../src/request/gateway/layer-path-finder.js";
import { FewestZoneCrossingsPolicy, MoveWherePossible, Repair } from "../../../src/request/gateway/lost-part-policy.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

/** A path of one layer for each letter, which names the zone. */
const pathThrough = (zones: string): LayerPath => ({
    cost: 0,
    parts: [...zones].map((zone, index) => ({
        server: serverEntry(`${zone}${index}`, { availabilityZone: zone }),
        layers: { first: index, last: index },
    })),
});
const path = pathThrough("nnn");

describe("FewestCrossings", () => {
    const policy = new FewestZoneCrossingsPolicy();

    test.each<[string, string | undefined, string | undefined, Repair]>([
        ["a replacement in the zone keeps the KV cache", "nnn", "sss", Repair.move],
        ["a new run inside another zone beats a move that crosses", "nsn", "sss", Repair.runAgain],
        ["a new run that crosses less often beats a move", "nsn", "ssn", Repair.runAgain],
        ["a move beats a new run that crosses as often", "nns", "ssn", Repair.move],
        ["a move that crosses is better than nothing", "nsn", undefined, Repair.move],
        ["a new run is all that is left", undefined, "snss", Repair.runAgain],
        ["without both the attempt goes on", undefined, undefined, Repair.wait],
    ])("%s", (_title, replacement, fresh, expected) => {
        expect(policy.choose({
            path,
            replacement: replacement === undefined ? undefined : pathThrough(replacement),
            fresh: fresh === undefined ? undefined : pathThrough(fresh),
        })).toBe(expected);
    });

    test("a path that crossed before may go on crossing", () => {
        const options = { path: pathThrough("nsn"), replacement: pathThrough("nsn"), fresh: pathThrough("sss") };
        expect(policy.choose(options)).toBe(Repair.move);
    });
});

test("the baseline moves wherever it can", () => {
    const policy = new MoveWherePossible();
    expect(policy.choose({ path, replacement: pathThrough("nsn"), fresh: path })).toBe(Repair.move);
    expect(policy.choose({ path, replacement: undefined, fresh: path })).toBe(Repair.runAgain);
});
