/**
 * A version of the gateway's configuration: the routes that operators publish, the services behind them, the customers
 * that may send requests, and the limits on requests. Immutable; a higher version replaces the whole configuration.
 */

export const RouteKind = {
    /** May run any number of times. */
    idempotent: "idempotent",
    /** Runs at most once per request. */
    nonIdempotent: "non-idempotent",
    /** Responds with server-sent events. */
    streaming: "streaming",
} as const;
export type RouteKind = typeof RouteKind[keyof typeof RouteKind];

/** A service that receives a weighted share of a route's requests. */
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
    /** Maximum time that a caller waits for a response. */
    readonly timeoutMilliseconds: number;
    /** Time within which a response should arrive; a later response is worth less to the caller. */
    readonly targetLatencyMilliseconds: number;
    /** Maximum time between two events of a stream that is on time; undefined for routes without streams. */
    readonly maximumEventGapMilliseconds: number | undefined;
    /** Maximum number of backend servers that may run one request. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Never empty. */
    readonly shares: readonly ServiceShare[];
    /** Whether callers may omit the API key. */
    readonly allowsAnonymous: boolean;
    /** Whether another backend server may resume a stream after the last delivered event. */
    readonly resumable: boolean;
}

/** A kind of accelerator in the backend servers of a service. */
export interface AcceleratorKind {
    readonly name: string;
    readonly memoryMegabytes: number;
    /** Duration of a decoding step, as a multiple of the engine profile's. */
    readonly stepFactor: number;
    /** Duration of the prefill, as a multiple of the engine profile's. */
    readonly prefillFactor: number;
}

/** Capacity and performance of a service's model engines, as configured by the operator. */
export interface EngineProfile {
    /** Number of layers of the model; layers are numbered from 0. */
    readonly layerCount: number;
    readonly layerMegabytes: number;
    /** KV cache size of one token across all layers. */
    readonly tokenCacheBytes: number;
    /** Base duration of a decoding step. */
    readonly stepMilliseconds: number;
    /** Added to the duration of a decoding step for each request in the batch. */
    readonly stepMillisecondsPerRequest: number;
    /** Added to the duration of a decoding step for each thousand tokens of context. */
    readonly stepMillisecondsPerThousandTokens: number;
    /** Prefill throughput. */
    readonly prefillTokensPerMillisecond: number;
    /** Number of requests that one backend server accepts as the first of a layer path. */
    readonly slots: number;
    /** Size of the activations that one backend server sends to the next for each token. */
    readonly activationBytes: number;
    /** Bandwidth between two availability zones, shared by all transfers between them. */
    readonly zoneLinkMegabitsPerSecond: number;
    /** Number of layer loads that can run at the same time without slowing each other down. */
    readonly concurrentLoads: number;
    /** Time to load all layers of the model. */
    readonly loadSeconds: number;
    /** Typical prompt length, in tokens. */
    readonly typicalPromptTokens: number;
    /** Typical output length, in tokens. */
    readonly typicalOutputTokens: number;
    /** Output tokens that one event of a stream holds. */
    readonly tokensPerEvent: number;
    /** Delay of the engines' reports behind their actual state. */
    readonly reportLagMilliseconds: number;
    readonly kinds: ReadonlyMap<string, AcceleratorKind>;
}

export interface GatewayService {
    readonly name: string;
    /** Maximum number of connections that one backend server accepts, across all callers. */
    readonly maximumConnections: number;
    /** Path at which a backend server reports that it is healthy and not leaving; undefined if there is none. */
    readonly healthPath: string | undefined;
    /** Undefined for a plain service, each of whose backend servers serves whole requests. */
    readonly engine: EngineProfile | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    /** A connection without a request in progress is closed after this time. */
    readonly idleTimeoutMilliseconds: number;
}

export interface GatewayCustomer {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the route's priority. */
    readonly priority: number | undefined;
}

export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly services: ReadonlyMap<string, GatewayService>;
    readonly limits: CallerLimits;
    /** Undefined if callers need no API keys; empty if no key is valid. */
    readonly customers: readonly GatewayCustomer[] | undefined;
}
