/** An accepted configuration as every part of a router sees it: immutable, and of one version. */
import type { BackendServerClass } from "./backend-server.js";
import type { ModelDescription } from "./model.js";
import type { Topology } from "./topology.js";

/** A customer, from the sheet. */
export interface Customer {
    readonly name: string;
    /** SHA-256 of each key, in hexadecimal. */
    readonly keyHashes: readonly string[];
    /** Share of a full fleet, relative to other customers. */
    readonly weight: number;
    /** Limit over all routers, in tokens of prompt and answer a second. */
    readonly tokensPerSecond: number;
    /** Tokens that may be spent at once after a quiet time. */
    readonly burstTokens: number;
}

/** What callers name in the `model` field: a model with the terms on which it is served. */
export interface Route {
    readonly name: string;
    readonly model: string;
    readonly adapter?: string;
    /** Lower numbers run first. */
    readonly priority: number;
    readonly defaultTimeoutMilliseconds: number;
    /** Retries allowed, as a share of first attempts. */
    readonly retryShare: number;
    /** Customers that may use the route; empty for all. */
    readonly customers: readonly string[];
}

/** A plain service beside the model engines. */
export interface PlainService {
    readonly name: string;
    /** HTTP methods whose calls are idempotent. */
    readonly idempotentMethods: readonly string[];
    readonly defaultTimeoutMilliseconds: number;
    readonly retryShare: number;
    readonly customers: readonly string[];
}

/** The weight store's limit for the whole fleet. */
export interface WeightStoreLimit {
    readonly bytesPerSecond: number;
}

/** One accepted version of the configuration. */
export interface Configuration {
    /** Rises by one with each accepted version; 0 is the empty configuration before the first. */
    readonly version: number;
    /** The push's own ID. */
    readonly pushId: string;
    readonly parent: number;
    readonly author: string;
    readonly acceptedAt: string;
    readonly models: ReadonlyMap<string, ModelDescription>;
    readonly routes: ReadonlyMap<string, Route>;
    readonly customers: ReadonlyMap<string, Customer>;
    readonly services: ReadonlyMap<string, PlainService>;
    readonly backendServerClasses: ReadonlyMap<string, BackendServerClass>;
    readonly topology: Topology;
    readonly weightStore: WeightStoreLimit;
}

/** Whether a list of customers, empty for all, holds the customer. */
export function isCustomerAllowed(customers: readonly string[], customer: Customer): boolean {
    return customers.length === 0 || customers.includes(customer.name);
}

/** Gives the configuration in force, and tells of new ones. */
export interface ConfigurationSource {
    readonly current: Configuration;
    /** Called after a new version came into force; the result removes the listener. */
    onChange(listener: (configuration: Configuration) => void): () => void;
}
