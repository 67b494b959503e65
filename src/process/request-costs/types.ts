/** What a request is expected to cost, and what a router tells the estimator about requests that have ended. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";

/** Whom the request comes from and where it goes; what is learnt is kept by these names. */
export interface RequestOrigin {
    readonly service: string;
    readonly route: string;
    readonly customer: string | undefined;
}

/** A streaming request before it runs. */
export interface StreamCostQuery extends RequestOrigin {
    readonly engine: EngineProfile;
    /** The caller's own estimate of the output tokens. */
    readonly lengthHint: number | undefined;
    /** The caller's limit on the output tokens. */
    readonly maximumOutputTokens: number | undefined;
}

/** Output tokens of one request. */
export interface OutputEstimate {
    /** Mean: time on the engines follows from it, as does the load of many requests. */
    readonly meanTokens: number;
    /** Nine in ten such requests need no more: memory that may not run out is planned with it. */
    readonly upperTokens: number;
    /** Expected output tokens in all, given that so many have been generated and the request goes on. */
    expectedAfter(generatedTokens: number): number;
}

/** Run time of one request on a plain server, in milliseconds. */
export interface RunTimeEstimate {
    readonly meanMilliseconds: number;
    /** Expected run time in all, given that the request has run for so long and goes on. */
    expectedAfter(elapsedMilliseconds: number): number;
}

/** A request to a plain service that one backend server has run. */
export interface PlainRun extends RequestOrigin {
    readonly serverId: string;
    /** From the request to the end of its response, or to its abandonment. */
    readonly milliseconds: number;
    /** False if the run was abandoned: it would have taken longer than it did. */
    readonly complete: boolean;
}

export interface RequestCostEstimator {
    estimateOutput(query: StreamCostQuery): OutputEstimate;
    /** Records the output of a stream that was delivered from its first event to its last. */
    recordOutput(query: StreamCostQuery, tokens: number): void;
    estimateRunTime(origin: RequestOrigin, serverId: string): RunTimeEstimate;
    recordRunTime(run: PlainRun): void;
    /** Mean run time of all requests to the service, on the given server. */
    usualRunMilliseconds(service: string, serverId: string): number;
}
