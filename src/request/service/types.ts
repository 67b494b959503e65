/** Calls to plain services. */
import type { Readable } from "node:stream";
import type { PlainService } from "../../domain/configuration.js";
import type { ServiceInstance } from "../../process/service-directory/service-directory.js";

export type { ServiceInstance };

/** Knows the VMs of plain services. */
export interface ServiceInstances {
    /** The VMs that may get new calls; those that are leaving are not among them. */
    instancesOf(service: string): readonly ServiceInstance[];
}

export type ServiceHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** One call on behalf of a caller. */
export interface ServiceCall {
    readonly requestId: string;
    readonly customer: string;
    readonly service: PlainService;
    readonly configurationVersion: number;
    readonly method: string;
    /** Path and query at the service. */
    readonly path: string;
    /** As the caller sent them; what must not be passed on is dropped. */
    readonly headers: ServiceHeaders;
    readonly body?: Uint8Array;
    /** On the monotonic clock, in milliseconds. */
    readonly deadline: number;
    /** Aborted when the caller went away. */
    readonly signal?: AbortSignal;
}

export interface ServiceResponse {
    readonly status: number;
    /** Without hop-by-hop headers. */
    readonly headers: Record<string, string | string[]>;
    /** Reads as fast as it is consumed; destroy it to give the call up. */
    readonly body: Readable;
}

export const DispatchKind = { notRun: "not-run", responded: "responded", unknown: "unknown" } as const;
export type DispatchKind = typeof DispatchKind[keyof typeof DispatchKind];

/** What became of exactly one dispatch. */
export type DispatchResult =
    | { readonly kind: typeof DispatchKind.notRun; readonly error: Error; }
    | { readonly kind: typeof DispatchKind.responded; readonly response: ServiceResponse; }
    /** Bytes may have been written and no response came. */
    | { readonly kind: typeof DispatchKind.unknown; readonly error: Error; };
