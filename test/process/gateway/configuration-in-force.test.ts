import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { SilentLogger } from "../../../src/common/logger.js";
import { ActiveConfiguration } from "../../../src/process/gateway/configuration-in-force.js";
import { gatewayConfiguration } from "./fixtures.js";

test("property: the active version never decreases, whatever versions arrive in whatever order", () => {
    fc.assert(
        fc.property(fc.array(fc.nat({ max: 20 })), versions => {
            const active = new ActiveConfiguration(new SilentLogger());
            let highest = -1;
            for (const version of versions) {
                expect(active.applyIfNewer(gatewayConfiguration(version), "test")).toBe(version > highest);
                highest = Math.max(highest, version);
                expect(active.current?.version).toBe(highest);
            }
        }),
        { seed: 20261204 },
    );
});
