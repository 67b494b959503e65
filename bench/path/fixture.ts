/**
 * Fixture shared by the processes of the `path` benchmark: one model, all of whose layers fit on one backend server.
 */
import { hashKey } from "../../src/common/credentials.js";
import { previewConfiguration } from "../../src/version/sheet/index.js";

export const callerKey = "bench-key";
export const routeName = "bench";
export const location = { region: "bench", availabilityZone: "bench-a" };

const columns = [
    "kind",
    "name",
    "version",
    "layers",
    "layer_megabytes",
    "activation_kilobytes",
    "cache_bytes_per_token_layer",
    "maximum_tokens",
    "model",
    "priority",
    "timeout_seconds",
    "retry_percent",
    "key_hashes",
    "weight",
    "tokens_per_second",
    "burst_tokens",
    "accelerator_kind",
    "accelerators",
    "memory_gigabytes",
    "layer_tokens_per_second",
    "honours_fencing",
    "checks_orders",
    "region",
    "megabytes_per_second",
];

function row(cells: Readonly<Record<string, string | number>>): string {
    return columns.map(column => cells[column] ?? "").join(",");
}

export const sheet = [
    columns.join(","),
    row({
        kind: "model",
        name: "bench-model",
        version: "1",
        layers: 8,
        layer_megabytes: 1,
        activation_kilobytes: 1,
        cache_bytes_per_token_layer: 100,
        maximum_tokens: 100_000,
    }),
    row({ kind: "route", name: routeName, model: "bench-model", priority: 1, timeout_seconds: 60, retry_percent: 10 }),
    row({
        kind: "customer",
        name: "bench",
        key_hashes: hashKey(callerKey),
        weight: 1,
        tokens_per_second: 100_000_000,
        burst_tokens: 100_000_000,
    }),
    row({
        kind: "backend-server-class",
        name: "bench-class",
        accelerator_kind: "bench",
        accelerators: 1,
        memory_gigabytes: 1,
        layer_tokens_per_second: 64_000,
        honours_fencing: "yes",
        checks_orders: "no",
    }),
    row({ kind: "availability-zone", name: location.availabilityZone, region: location.region }),
    row({ kind: "weight-store", megabytes_per_second: 1000 }),
    "",
].join("\n");

const configuration = previewConfiguration(sheet);

export const model = configuration.models.get("bench-model")!;
export const backendServerClass = configuration.backendServerClasses.get("bench-class")!;
