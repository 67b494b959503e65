/** The kinds of rows in a sheet and the columns of each kind. */
import { z } from "zod";
import {
    booleanCell,
    hashListCell,
    integerCell,
    locationCell,
    methodListCell,
    nameCell,
    nameListCell,
    numberCell,
    optionalNameCell,
} from "./cells.js";

const million = 1_000_000;

const customersCell = nameListCell("Customers with access; empty for all customers.");
const timeoutCell = numberCell("Deadline of requests that specify none, in seconds.", {
    minimum: 0.1,
    maximum: 86_400,
    default: 30,
});
const retryCell = numberCell("Maximum number of retries, in percent of first attempts.", {
    minimum: 0,
    maximum: 100,
    default: 10,
});

export const modelRow = z.object({
    name: nameCell("Name of the model."),
    version: nameCell("Version of the model's weights."),
    layers: integerCell("Number of layers of the model.", { minimum: 1, maximum: 1_000 }),
    layer_megabytes: numberCell("Size of one layer's weights, in megabytes.", { minimum: 0.001, maximum: million }),
    activation_kilobytes: numberCell("Size of one token's activations sent between two stages, in kilobytes.", {
        minimum: 0.001,
        maximum: million,
    }),
    cache_bytes_per_token_layer: integerCell("Size of the KV cache of one token in one layer, in bytes.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
    adapters: nameListCell("Names of the adapters that may be loaded with the model."),
    maximum_tokens: integerCell("Maximum number of tokens in prompt and answer together.", {
        minimum: 1,
        maximum: 10 * million,
    }),
});

export const routeRow = z.object({
    name: nameCell("Name that callers send as `model`."),
    model: nameCell("Name of the model that serves the route."),
    adapter: optionalNameCell("Name of the model's adapter that the route uses."),
    priority: integerCell("Priority of requests; lower numbers run first.", { minimum: 0, maximum: 100, default: 10 }),
    timeout_seconds: timeoutCell,
    retry_percent: retryCell,
    customers: customersCell,
});

export const customerRow = z.object({
    name: nameCell("Name of the customer."),
    key_hashes: hashListCell("SHA-256 hashes of the customer's keys."),
    weight: numberCell("Share of the fleet's capacity under full load, relative to other customers' weights.", {
        minimum: 0.001,
        maximum: million,
        default: 1,
    }),
    tokens_per_second: integerCell("Limit across all routers, in tokens of prompt and answer per second.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
    burst_tokens: integerCell("Maximum number of tokens that may be used in a burst after idle time.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
});

export const serviceRow = z.object({
    name: nameCell("Name of the plain service in the path /services/NAME/ and in the VM list."),
    idempotent_methods: methodListCell("HTTP methods whose requests may be repeated."),
    timeout_seconds: timeoutCell,
    retry_percent: retryCell,
    customers: customersCell,
});

export const backendServerClassRow = z.object({
    name: nameCell("Name of the class in the VM list."),
    accelerator_kind: nameCell("Kind of accelerator."),
    accelerators: integerCell("Number of accelerators in one VM.", { minimum: 1, maximum: 1_000 }),
    memory_gigabytes: numberCell("Memory of one VM for weights and KV cache, in gigabytes.", {
        minimum: 0.001,
        maximum: million,
    }),
    layer_tokens_per_second: integerCell(
        "Compute capacity of one VM with a full batch, in layers times tokens per second.",
        {
            minimum: 1,
            maximum: 1_000 * million,
        },
    ),
    honours_fencing: booleanCell("Whether the engines of the class refuse orders with an outdated fencing number."),
    checks_orders: booleanCell("Whether the engines of the class authenticate the sender of an order."),
});

export const availabilityZoneRow = z.object({
    name: nameCell("Name of the availability zone."),
    region: nameCell("Region of the availability zone."),
});

export const linkRow = z.object({
    from: locationCell("Source; the row also applies to the opposite direction unless that has a row of its own."),
    to: locationCell("Destination; the same as `from` for links inside an availability zone."),
    latency_milliseconds: numberCell("One-way latency, in milliseconds.", { minimum: 0, maximum: 10_000 }),
    megabytes_per_second: numberCell("Throughput of one transfer, in megabytes per second.", {
        minimum: 0.001,
        maximum: million,
    }),
});

export const weightStoreRow = z.object({
    megabytes_per_second: numberCell("Rate of the weight store for the whole fleet, in megabytes per second.", {
        minimum: 0.001,
        maximum: million,
    }),
});

export const rowSchemas = {
    "model": modelRow,
    "route": routeRow,
    "customer": customerRow,
    "service": serviceRow,
    "backend-server-class": backendServerClassRow,
    "availability-zone": availabilityZoneRow,
    "link": linkRow,
    "weight-store": weightStoreRow,
} as const;

export type RowKind = keyof typeof rowSchemas;

export const rowKinds = Object.keys(rowSchemas) as RowKind[];

export function isRowKind(text: string): text is RowKind {
    return Object.hasOwn(rowSchemas, text);
}

export const kindColumn = "kind";
/** Free text that is not evaluated. */
export const commentColumn = "comment";

/** All columns without duplicates: the kind, then the columns of each kind in order, then the comment. */
export const allColumns: readonly string[] = [
    ...new Set([
        kindColumn,
        ...Object.values(rowSchemas).flatMap(schema => Object.keys(schema.shape)),
        commentColumn,
    ]),
];
