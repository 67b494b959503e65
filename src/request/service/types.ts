/** Types of calls to plain services. */
import type { Readable } from "node:stream";
import type { PlainService } from "../../domain/configuration.js";
import type { ServiceInstance } from "../../process/service-directory/service-directory.js";

export type { ServiceInstance };

/** Provides the VMs of plain services. */
export interface ServiceInstanceSource {
    /** Returns the VMs that accept new calls; VMs that are leaving are excluded. */
    instancesOf(service: string): readonly ServiceInstance[];
}

export type ServiceHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A call to a plain service on behalf of a caller. */
export interface ServiceCall {
    readonly requestId: string;
    readonly customer: string;
    readonly service: PlainService;
    readonly configurationVersion: number;
    readonly method: string;
    /** Path and query string at the service. */
    readonly path: string;
    /** The caller's headers, unfiltered; those that must not be forwarded are removed before sending. */
    readonly headers: ServiceHeaders;
    readonly body?: Uint8Array;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
    /** Aborted when the caller disconnects. */
    readonly signal?: AbortSignal;
}

export interface ServiceResponse {
    readonly status: number;
    /** Response headers without hop-by-hop headers. */
    readonly headers: Record<string, string | string[]>;
    /** Streamed with backpressure; destroy it to abort the call. */
    readonly body: Readable;
}

export const DispatchKind = { notRun: "not-run", responded: "responded", unknown: "unknown" } as const;
export type DispatchKind = typeof DispatchKind[keyof typeof DispatchKind];

/** Result of sending a call once. */
export type DispatchResult =
    | { readonly kind: typeof DispatchKind.notRun; readonly error: Error; }
    | { readonly kind: typeof DispatchKind.responded; readonly response: ServiceResponse; }
    /** Bytes may have been written, but no response was received. */
    | { readonly kind: typeof DispatchKind.unknown; readonly error: Error; };
