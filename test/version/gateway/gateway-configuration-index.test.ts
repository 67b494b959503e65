import { expect, test } from "@jest/globals";
import { GatewayConfigurationIndex } from "../../../src/version/gateway/gateway-configuration-index.js";
import { gatewayConfiguration, gatewayRoute } from "../../process/gateway/fixtures.js";

const index = new GatewayConfigurationIndex(gatewayConfiguration(1, {
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
])("host %s and path %s match the route with the longest path prefix", (host, path, name) => {
    expect(index.findRoute(host, path)?.name).toBe(name);
});

test("a customer is found by its API key only", () => {
    expect(index.findCustomer("key-1")?.name).toBe("haddow");
    expect(index.findCustomer("key-2")).toBeUndefined();
    expect(index.findCustomer(undefined)).toBeUndefined();
});
