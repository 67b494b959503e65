/** An accepted version of the configuration, as used by all components of a router. Immutable. */
import type { BackendServerClass } from "./backend-server.js";
import type { ModelDescription } from "./model.js";
import type { Topology } from "./topology.js";

/** A customer, as defined in the configuration sheet. */
export interface Customer {
    readonly name: string;
    /** SHA-256 of each API key, in hexadecimal. */
    readonly keyHashes: readonly string[];
    /** The customer's share of capacity when the fleet is fully loaded, relative to other customers. */
    readonly weight: number;
    /** Rate limit across all routers, in prompt and output tokens. */
    readonly tokensPerSecond: number;
    /** Tokens that the customer may use at once after a period without requests. */
    readonly burstTokens: number;
}

/** The target that callers name in the `model` field: a model with its priority, timeout, retries and access. */
export interface Route {
    readonly name: string;
    readonly model: string;
    readonly adapter?: string;
    /** Lower numbers are scheduled first. */
    readonly priority: number;
    readonly defaultTimeoutMilliseconds: number;
    /** Allowed number of retries, as a fraction of the number of first attempts. */
    readonly retryShare: number;
    /** Customers that may use the route; empty if all may. */
    readonly customers: readonly string[];
}

/** An HTTP service that is not a model engine. */
export interface PlainService {
    readonly name: string;
    /** HTTP methods whose calls are idempotent. */
    readonly idempotentMethods: readonly string[];
    readonly defaultTimeoutMilliseconds: number;
    readonly retryShare: number;
    readonly customers: readonly string[];
}

/** Limit on reads from the store of model weights, across the whole fleet. */
export interface WeightStoreLimit {
    readonly bytesPerSecond: number;
}

export interface Configuration {
    /** Increases by one with each accepted version; 0 is the empty configuration before the first push. */
    readonly version: number;
    /** Unique ID of the push. */
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

/** Whether an access list contains the customer. An empty list admits all customers. */
export function isCustomerAllowed(customers: readonly string[], customer: Customer): boolean {
    return customers.length === 0 || customers.includes(customer.name);
}

/** Provides the active configuration and notifies listeners of new versions. */
export interface ConfigurationSource {
    readonly current: Configuration;
    /** Calls the listener after a new version became active. Returns a function that removes the listener. */
    onChange(listener: (configuration: Configuration) => void): () => void;
}
