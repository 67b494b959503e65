import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { SilentLogger } from "../../../src/common/logger.js";
import { ConfigurationInForce } from "../../../src/process/gateway/configuration-in-force.js";
import { gatewayConfiguration } from "./fixtures.js";

test("property: whatever arrives in whatever order, the version in force only rises", () => {
    fc.assert(
        fc.property(fc.array(fc.nat({ max: 20 })), versions => {
            const inForce = new ConfigurationInForce(new SilentLogger());
            let highest = -1;
            for (const version of versions) {
                expect(inForce.offer(gatewayConfiguration(version), "test")).toBe(version > highest);
                highest = Math.max(highest, version);
                expect(inForce.current?.version).toBe(highest);
            }
        }),
        { seed: 20261204 },
    );
});
