/** Builds the configuration of a version from its sheet. */
import type { BackendServerClass } from "../../domain/backend-server.js";
import type { VersionRecord } from "../../domain/configuration-record.js";
import type { Configuration, Customer, PlainService, Route } from "../../domain/configuration.js";
import type { ModelDescription } from "../../domain/model.js";
import { parseSheet, type SheetRow } from "./parse-sheet.js";
import { SheetTopology } from "./sheet-topology.js";

const bytesPerKilobyte = 1_000;
const bytesPerMegabyte = 1_000_000;
const bytesPerGigabyte = 1_000_000_000;
const millisecondsPerSecond = 1_000;
const percentPerWhole = 100;

/** Rate of the weight store if the sheet gives none, in bytes per second. */
const defaultWeightStoreBytesPerSecond = 100 * bytesPerMegabyte;

/** Parses the sheet and builds the configuration. Throws SheetInvalidError, which lists every fault. */
export function buildConfiguration(record: VersionRecord, sheet: string): Configuration {
    const rows = parseSheet(sheet);
    const megabytesPerSecond = rows["weight-store"][0]?.megabytes_per_second;
    return {
        ...record,
        models: indexByName(rows.model.map(buildModel)),
        routes: indexByName(rows.route.map(buildRoute)),
        customers: indexByName(rows.customer.map(buildCustomer)),
        services: indexByName(rows.service.map(buildService)),
        backendServerClasses: indexByName(rows["backend-server-class"].map(buildBackendServerClass)),
        topology: new SheetTopology(rows.link),
        weightStore: {
            bytesPerSecond: megabytesPerSecond === undefined
                ? defaultWeightStoreBytesPerSecond
                : megabytesPerSecond * bytesPerMegabyte,
        },
    };
}

/** Creates the configuration that is in force before the first version: version 0, which serves nothing. */
export function createEmptyConfiguration(): Configuration {
    return previewConfiguration("kind\n");
}

/** Builds the configuration of a sheet that is not pushed, as version 0. Throws SheetInvalidError. */
export function previewConfiguration(sheet: string): Configuration {
    return buildConfiguration({ version: 0, pushId: "", parent: 0, author: "", acceptedAt: "" }, sheet);
}

function indexByName<Item extends { readonly name: string; }>(items: readonly Item[]): ReadonlyMap<string, Item> {
    return new Map(items.map(item => [item.name, item]));
}

function buildModel(row: SheetRow<"model">): ModelDescription {
    return {
        name: row.name,
        version: row.version,
        layerTotal: row.layers,
        layerBytes: row.layer_megabytes * bytesPerMegabyte,
        activationBytes: row.activation_kilobytes * bytesPerKilobyte,
        cacheBytesPerTokenLayer: row.cache_bytes_per_token_layer,
        adapters: row.adapters,
        maximumTokens: row.maximum_tokens,
    };
}

function buildRoute(row: SheetRow<"route">): Route {
    return {
        name: row.name,
        model: row.model,
        adapter: row.adapter,
        priority: row.priority,
        defaultTimeoutMilliseconds: row.timeout_seconds * millisecondsPerSecond,
        retryShare: row.retry_percent / percentPerWhole,
        customers: row.customers,
    };
}

function buildCustomer(row: SheetRow<"customer">): Customer {
    return {
        name: row.name,
        keyHashes: row.key_hashes,
        weight: row.weight,
        tokensPerSecond: row.tokens_per_second,
        burstTokens: row.burst_tokens,
    };
}

function buildService(row: SheetRow<"service">): PlainService {
    return {
        name: row.name,
        idempotentMethods: row.idempotent_methods,
        defaultTimeoutMilliseconds: row.timeout_seconds * millisecondsPerSecond,
        retryShare: row.retry_percent / percentPerWhole,
        customers: row.customers,
    };
}

function buildBackendServerClass(row: SheetRow<"backend-server-class">): BackendServerClass {
    return {
        name: row.name,
        acceleratorKind: row.accelerator_kind,
        acceleratorCount: row.accelerators,
        memoryBytes: row.memory_gigabytes * bytesPerGigabyte,
        layerTokensPerSecond: row.layer_tokens_per_second,
        honoursFencing: row.honours_fencing,
        checksOrders: row.checks_orders,
    };
}
