import { expect, test } from "@jest/globals";
import type { EngineProfile } from "../../../src/domain/gateway/configuration.js";
import type { ServerEntry } from "../../../src/domain/gateway/server-entry.js";
import { ServiceRoom } from "../../../src/process/customer-shares/service-room.js";
import { engineProfile, gatewayConfiguration, serverEntry } from "../gateway/fixtures.js";

function createRoom(
    servers: readonly ServerEntry[],
    engine: EngineProfile | undefined,
    tokens: Record<string, number>,
) {
    const service = { name: "pool", maximumConnections: 100, healthPath: undefined, engine };
    return new ServiceRoom(
        { current: gatewayConfiguration(1, { services: new Map([["pool", service]]) }) },
        { active: () => [...servers] },
        { requests: () => 0, tokens: id => tokens[id] ?? 0 },
    );
}

const first = { first: 0, last: 9 };
const second = { first: 10, last: 19 };
const servers = [
    serverEntry("a", { kind: "large", layers: first }),
    serverEntry("b", { kind: "large", layers: second }),
    serverEntry("c", { kind: "large", layers: second }),
];

test("the room in use is that of the layer whose engines are fullest", () => {
    // 10 GB are left beside 10 layers, of which a token takes 0.1 MB.
    expect(createRoom(servers, engineProfile, { a: 40_000, b: 10_000 }).use("pool"))
        .toEqual({ used: 40_000, capacity: 100_000 });
    expect(createRoom(servers, engineProfile, { a: 20_000, b: 90_000 }).use("pool"))
        .toEqual({ used: 90_000, capacity: 200_000 });
});

test.each([
    ["a plain service", servers, undefined],
    ["a layer that no engine holds", servers.slice(1), engineProfile],
    [
        "engines of a kind that the profile doesn't list",
        [serverEntry("a", { kind: "odd", layers: first })],
        engineProfile,
    ],
    ["a profile whose tokens take no memory", servers, { ...engineProfile, tokenCacheBytes: 0 }],
])("with %s the use is not known", (_name, held, engine) => {
    expect(createRoom(held, engine, { a: 1, b: 1 }).use("pool")).toBeUndefined();
});

test("a service that the configuration doesn't have is not known", () => {
    expect(createRoom(servers, engineProfile, {}).use("other")).toBeUndefined();
});
