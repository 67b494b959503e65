/** The kinds of rows that a sheet may hold, with the columns that each uses. */
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

const customersCell = nameListCell("Customers that may use it; empty for all.");
const timeoutCell = numberCell("Deadline of a request that names none, in seconds.", {
    minimum: 0.1,
    maximum: 86_400,
    default: 30,
});
const retryCell = numberCell("Retries allowed, in percent of first attempts.", {
    minimum: 0,
    maximum: 100,
    default: 10,
});

export const modelRow = z.object({
    name: nameCell("Name of the model."),
    version: nameCell("Version of the weights."),
    layers: integerCell("Layers of the model.", { minimum: 1, maximum: 1_000 }),
    layer_megabytes: numberCell("Weights of one layer, in megabytes.", { minimum: 0.001, maximum: million }),
    activation_kilobytes: numberCell("Activations of one token between two stages, in kilobytes.", {
        minimum: 0.001,
        maximum: million,
    }),
    cache_bytes_per_token_layer: integerCell("KV cache of one token in one layer, in bytes.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
    adapters: nameListCell("Adapters that may be loaded with the model."),
    maximum_tokens: integerCell("Most tokens of prompt and answer together.", { minimum: 1, maximum: 10 * million }),
});

export const routeRow = z.object({
    name: nameCell("What callers give as `model`."),
    model: nameCell("The model that serves the route."),
    adapter: optionalNameCell("Adapter of that model."),
    priority: integerCell("Lower numbers run first.", { minimum: 0, maximum: 100, default: 10 }),
    timeout_seconds: timeoutCell,
    retry_percent: retryCell,
    customers: customersCell,
});

export const customerRow = z.object({
    name: nameCell("Name of the customer."),
    key_hashes: hashListCell("SHA-256 of each of the customer's keys."),
    weight: numberCell("Share of a full fleet, relative to other customers.", {
        minimum: 0.001,
        maximum: million,
        default: 1,
    }),
    tokens_per_second: integerCell("Limit over all routers, in tokens of prompt and answer a second.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
    burst_tokens: integerCell("Tokens that may be spent at once after a quiet time.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
});

export const serviceRow = z.object({
    name: nameCell("Name of the plain service, as in /services/NAME/ and in the VM list."),
    idempotent_methods: methodListCell("HTTP methods whose calls may be repeated."),
    timeout_seconds: timeoutCell,
    retry_percent: retryCell,
    customers: customersCell,
});

export const backendServerClassRow = z.object({
    name: nameCell("Name of the class, as in the VM list."),
    accelerator_kind: nameCell("Kind of accelerator."),
    accelerators: integerCell("Accelerators in one VM.", { minimum: 1, maximum: 1_000 }),
    memory_gigabytes: numberCell("Memory for weights and KV cache of one VM, in gigabytes.", {
        minimum: 0.001,
        maximum: million,
    }),
    layer_tokens_per_second: integerCell("Layers times tokens that one VM computes in a second with a full batch.", {
        minimum: 1,
        maximum: 1_000 * million,
    }),
    honours_fencing: booleanCell("Whether its engines refuse an order with an old fencing number."),
    checks_orders: booleanCell("Whether its engines check who gives them an order."),
});

export const availabilityZoneRow = z.object({
    name: nameCell("Name of the availability zone."),
    region: nameCell("Region of the availability zone."),
});

export const linkRow = z.object({
    from: locationCell("One end; the link holds both ways unless the other way has a row of its own."),
    to: locationCell("The other end; the same as `from` for links inside it."),
    latency_milliseconds: numberCell("One-way latency, in milliseconds.", { minimum: 0, maximum: 10_000 }),
    megabytes_per_second: numberCell("Throughput of one transfer, in megabytes a second.", {
        minimum: 0.001,
        maximum: million,
    }),
});

export const weightStoreRow = z.object({
    megabytes_per_second: numberCell("Rate of the weight store for the whole fleet, in megabytes a second.", {
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
/** Free text that nothing reads. */
export const commentColumn = "comment";

/** Every column, in the order in which the kinds name them. */
export const allColumns: readonly string[] = [
    ...new Set([
        kindColumn,
        ...Object.values(rowSchemas).flatMap(schema => Object.keys(schema.shape)),
        commentColumn,
    ]),
];
