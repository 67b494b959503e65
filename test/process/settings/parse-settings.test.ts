import { describe, expect, test } from "@jest/globals";
import type { InvalidSettingsError } from "../../../src/errors/index.js";
import { renderSampleSettings } from "../../../src/process/settings/describe-settings.js";
import { parseSettings } from "../../../src/process/settings/parse-settings.js";

const minimal = `{
    // Comments are allowed.
    "router": { "id": "router-1", "region": "perth", "availabilityZone": "perth-a" },
    "platform": { "keyValueAddresses": ["http://127.0.0.1:2379"], "vmListAddresses": ["http://127.0.0.1:2379"] },
}`;

function faultsOf(text: string) {
    try {
        parseSettings(text, "router.jsonc");
    }
    catch (error) {
        return (error as InvalidSettingsError).faults;
    }
    return [];
}

describe("parseSettings", () => {
    test("fills in the defaults of a minimal file", () => {
        const settings = parseSettings(minimal, "router.jsonc");
        expect(settings.callers.port).toBe(8080);
        expect(settings.drain.balancerDelayMilliseconds).toBe(2000);
        expect(settings.metrics).toBeUndefined();
    });

    test("accepts the generated sample", () => {
        expect(parseSettings(renderSampleSettings(), "sample").router.id).toBe("router-perth-1");
    });

    test("reports all faults at once with line and column", () => {
        const text = minimal
            .replace(`"router-1"`, "7")
            .replace(`"perth-a"`, `"perth-a", "rack": 3`)
            .replace(`["http://127.0.0.1:2379"]`, "[]");
        const faults = faultsOf(text);
        expect(faults.map(fault => fault.field).sort()).toEqual([
            "platform.keyValueAddresses",
            "router.id",
            "router.rack",
        ]);
        expect(faults.find(fault => fault.field === "router.id")).toMatchObject({ line: 3, column: 23, found: "7" });
    });

    test("reports a missing field at the position of its nearest parent", () => {
        const faults = faultsOf(`{\n  "router": { "id": "a", "region": "b" },\n  "platform": {}\n}`);
        expect(faults.map(fault => [fault.line, fault.field, fault.found])).toEqual([
            [2, "router.availabilityZone", "nothing"],
            [3, "platform.keyValueAddresses", "nothing"],
            [3, "platform.vmListAddresses", "nothing"],
        ]);
    });

    test.each([["", 1], ["{", 1], [`{\n  "router": @\n}`, 2]])(
        "reports the line of the syntax error in %j",
        (text, line) => {
            expect(faultsOf(text)[0]?.line).toBe(line);
        },
    );
});
