/** What the processes of the `path` benchmark share: one model that a single backend server holds whole. */
import type { BackendServerClass } from "../../src/domain/backend-server.js";
import type { Configuration } from "../../src/domain/configuration.js";
import type { ModelDescription } from "../../src/domain/model.js";
import { hashKey } from "../../src/version/customer-directory.js";

export const callerKey = "bench-key";
export const routeName = "bench";
export const location = { region: "bench", availabilityZone: "bench-a" };

export const model: ModelDescription = {
    name: "bench-model",
    version: "1",
    layerTotal: 8,
    layerBytes: 1_000_000,
    activationBytes: 1000,
    cacheBytesPerTokenLayer: 100,
    adapters: [],
    maximumTokens: 100_000,
};

export const backendServerClass: BackendServerClass = {
    name: "bench-class",
    acceleratorKind: "bench",
    acceleratorCount: 1,
    memoryBytes: 1_000_000_000,
    layerTokensPerSecond: 16_000,
    honoursFencing: true,
    checksOrders: false,
};

export const configuration: Configuration = {
    version: 1,
    pushId: "bench",
    parent: 0,
    author: "bench",
    acceptedAt: "2026-12-04T00:00:00Z",
    models: new Map([[model.name, model]]),
    routes: new Map([[routeName, {
        name: routeName,
        model: model.name,
        priority: 1,
        defaultTimeoutMilliseconds: 60_000,
        retryShare: 0.1,
        customers: [],
    }]]),
    customers: new Map([["bench", {
        name: "bench",
        keyHashes: [hashKey(callerKey)],
        weight: 1,
        tokensPerSecond: 1e9,
        burstTokens: 1e9,
    }]]),
    services: new Map(),
    backendServerClasses: new Map([[backendServerClass.name, backendServerClass]]),
    topology: { link: () => ({ latencyMilliseconds: 0.1, bytesPerSecond: 1e9 }) },
    weightStore: { bytesPerSecond: 1e9 },
};
