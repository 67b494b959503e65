/**
 * A version of the gateway's configuration: the routes that operators publish, the services behind them, the customers
 * that may call, and what callers may send. Immutable; a higher version replaces it as a whole.
 */

export const RouteKind = {
    /** May run any number of times. */
    idempotent: "idempotent",
    /** Runs at most once for each request. */
    nonIdempotent: "non-idempotent",
    /** Answers with server-sent events. */
    streaming: "streaming",
} as const;
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that a route sends to, with its share of the route's requests. */
export interface ServiceShare {
    readonly service: string;
    readonly weight: number;
}

export interface GatewayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMilliseconds: number;
    /** An answer within this time earns its full value. */
    readonly targetLatencyMilliseconds: number;
    /** Longest pause between events of a stream that is still on time; undefined for routes without streams. */
    readonly maximumEventGapMilliseconds: number | undefined;
    /** Backend servers that may run one request. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Never empty. */
    readonly shares: readonly ServiceShare[];
    /** Callers need no key. */
    readonly allowsAnonymous: boolean;
    /** Another backend server may go on with a stream after the last event that was delivered. */
    readonly resumable: boolean;
}

/** A kind of accelerator that backend servers of a service may have. */
export interface AcceleratorKind {
    readonly name: string;
    readonly memoryMegabytes: number;
    /** Time of a token step, relative to the profile's. */
    readonly stepFactor: number;
    /** Time of reading a prompt, relative to the profile's. */
    readonly prefillFactor: number;
}

/** What the engines of a service can do, as the operator states it. */
export interface EngineProfile {
    /** Layers of the model, numbered from 0. */
    readonly layerCount: number;
    readonly layerMegabytes: number;
    /** KV cache of a token over all layers, in bytes. */
    readonly tokenCacheBytes: number;
    readonly stepMilliseconds: number;
    /** Added to a step for each request that generates. */
    readonly stepMillisecondsPerRequest: number;
    /** Added to a step for each thousand tokens of context. */
    readonly stepMillisecondsPerThousandTokens: number;
    readonly prefillTokensPerMillisecond: number;
    /** Requests that one backend server takes as the first of a path. */
    readonly slots: number;
    /** Activations of a token that pass between two backend servers, in bytes. */
    readonly activationBytes: number;
    /** Bandwidth between two availability zones, shared by all transfers. */
    readonly zoneLinkMegabitsPerSecond: number;
    /** Loads that run at once without slowing each other. */
    readonly concurrentLoads: number;
    /** Time to load all layers of the model. */
    readonly loadSeconds: number;
    readonly typicalPromptTokens: number;
    readonly typicalOutputTokens: number;
    readonly reportLagMilliseconds: number;
    readonly kinds: ReadonlyMap<string, AcceleratorKind>;
}

export interface GatewayService {
    readonly name: string;
    /** Connections that one backend server takes from all callers together. */
    readonly maximumConnections: number;
    /** Where a backend server says whether it is well and stays; undefined if it does not say. */
    readonly healthPath: string | undefined;
    /** Undefined for a plain service, whose backend servers each answer alone. */
    readonly engine: EngineProfile | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    /** A connection without a request is closed after this time. */
    readonly idleTimeoutMilliseconds: number;
}

export interface GatewayCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over the route's priority. */
    readonly priority: number | undefined;
}

export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly services: ReadonlyMap<string, GatewayService>;
    readonly limits: CallerLimits;
    /** Empty if callers need no keys. */
    readonly customers: readonly GatewayCustomer[];
}
