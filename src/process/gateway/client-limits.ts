/**
 * Limits on what clients and servers together may take of a router's machine. The defaults follow from the machine and lie
 * above what callers within the limits of the published configuration need.
 */
import type { GatewaySettings } from "./settings.js";

export interface ClientLimits {
    /** What may be held at once for requests, responses and messages of other processes. */
    readonly heldMemoryBytes: number;
    readonly maximumConnections: number;
    readonly maximumRequests: number;
    /** In flight on one connection. */
    readonly maximumPipelinedRequests: number;
}

const bytesPerMegabyte = 1_048_576;
/** A router without requests. */
const programMegabytes = 64;
/** What has been released stays in the process until the garbage collector has run; the rest is the kernel's and the heap's. */
const heldShare = 1 / 4;
/** One request and one response of 4 MB, the largest body of the configurations so far. */
const minimumHeldMegabytes = 8;
/** The rest is left for files and for connections to backend servers, the store and routers. */
const callerDescriptorShare = 0.5;
/** Each request in flight has a connection to a backend server. */
const requestDescriptorShare = 0.35;
/** Clients on the users' pages wait for a response before the next request. */
const maximumPipelinedRequests = 32;

export function resolveClientLimits({ machine, limits = {} }: GatewaySettings): ClientLimits {
    const heldMegabytes = limits.heldMemoryMegabytes
        ?? Math.max(minimumHeldMegabytes, (machine.memoryMegabytes - programMegabytes) * heldShare);
    const maximumConnections = limits.maximumConnections
        ?? Math.floor(machine.maximumDescriptors * callerDescriptorShare);
    return {
        heldMemoryBytes: heldMegabytes * bytesPerMegabyte,
        maximumConnections,
        maximumRequests: Math.floor(machine.maximumDescriptors * requestDescriptorShare),
        maximumPipelinedRequests: limits.maximumPipelinedRequests ?? maximumPipelinedRequests,
    };
}
