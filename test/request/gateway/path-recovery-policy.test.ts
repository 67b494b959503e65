import { describe, expect, test } from "@jest/globals";
import type { LayerPath } from "../../../src/request/gateway/layer-path-finder.js";
import {
    AlwaysMovePolicy,
    FewestZoneCrossingsPolicy,
    RecoveryAction,
} from "../../../src/request/gateway/path-recovery-policy.js";
import { serverEntry } from "../../process/gateway/fixtures.js";

/** Returns a path with one single-layer part for each letter of `zones`; the letter is the part's zone. */
const pathThrough = (zones: string): LayerPath => ({
    cost: 0,
    parts: [...zones].map((zone, index) => ({
        server: serverEntry(`${zone}${index}`, { availabilityZone: zone }),
        layers: { first: index, last: index },
    })),
});
const path = pathThrough("nnn");

describe("FewestZoneCrossingsPolicy", () => {
    const policy = new FewestZoneCrossingsPolicy();

    test.each<[string, string | undefined, string | undefined, RecoveryAction]>([
        ["moves to a replacement in the same zone, which keeps the KV cache", "nnn", "sss", RecoveryAction.move],
        ["prefers a new run within another zone to a move that adds crossings", "nsn", "sss", RecoveryAction.rerun],
        ["prefers a new run with fewer crossings than the replacement path", "nsn", "ssn", RecoveryAction.rerun],
        ["prefers a move to a new run with as many crossings", "nns", "ssn", RecoveryAction.move],
        ["moves with added crossings if no new run is possible", "nsn", undefined, RecoveryAction.move],
        ["runs again if there is no replacement path", undefined, "snss", RecoveryAction.rerun],
        ["waits if neither a move nor a new run is possible", undefined, undefined, RecoveryAction.wait],
    ])("%s", (_title, replacement, newPath, expected) => {
        expect(policy.choose({
            path,
            replacement: replacement === undefined ? undefined : pathThrough(replacement),
            newPath: newPath === undefined ? undefined : pathThrough(newPath),
        })).toBe(expected);
    });

    test("moves if the replacement path adds no crossings to those of the current path", () => {
        const options = { path: pathThrough("nsn"), replacement: pathThrough("nsn"), newPath: pathThrough("sss") };
        expect(policy.choose(options)).toBe(RecoveryAction.move);
    });
});

test("AlwaysMovePolicy moves whenever there is a replacement path", () => {
    const policy = new AlwaysMovePolicy();
    expect(policy.choose({ path, replacement: pathThrough("nsn"), newPath: path })).toBe(RecoveryAction.move);
    expect(policy.choose({ path, replacement: undefined, newPath: path })).toBe(RecoveryAction.rerun);
});
