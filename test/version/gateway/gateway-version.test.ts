import { expect, test } from "@jest/globals";
import { GatewayConfigurationIndex } from "../../../src/version/gateway/gateway-version.js";
import { gatewayConfiguration, gatewayRoute } from "../../process/gateway/fixtures.js";

const version = new GatewayConfigurationIndex(gatewayConfiguration(1, {
    routes: [
        gatewayRoute({ name: "short", pathPrefix: "/a/" }),
        gatewayRoute({ name: "long", pathPrefix: "/a/b/" }),
        gatewayRoute({ name: "other", host: "other.example", pathPrefix: "/" }),
    ],
}));

test.each([
    ["yard.example", "/a/x", "short"],
    ["yard.example", "/a/b/x", "long"],
    ["YARD.example:8080", "/a/b/", "long"],
    ["yard.example", "/a/bx", "short"],
    ["yard.example", "/a", undefined],
    ["other.example", "/a/", "other"],
    ["unknown.example", "/a/", undefined],
    [undefined, "/a/", undefined],
])("host %s and path %s take the longest prefix", (host, path, name) => {
    expect(version.findRoute(host, path)?.name).toBe(name);
});

test("customers are found by each of their keys only", () => {
    expect(version.findCustomer("key-1")?.name).toBe("haddow");
    expect(version.findCustomer("key-2")).toBeUndefined();
    expect(version.findCustomer(undefined)).toBeUndefined();
});
