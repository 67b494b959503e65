/** Divides the memory of an accelerator between model layers and the KV cache of requests. */
import type { AcceleratorKind, EngineProfile } from "../../../domain/gateway/configuration.js";

/**
 * Share of an engine's memory that layers leave free for the KV cache. With this share, the engines of a zone that
 * together hold all layers have capacity for the zone's share of the peak load: 20 requests per second, each with 930
 * tokens and a duration of 3 s (docs/design/platform.md).
 */
export const preferredMemoryReserve = 0.27;
/** Smallest share of the memory with which an engine can serve requests: room for a few prompts of usual size. */
export const minimumMemoryReserve = 0.06;

const bytesPerMegabyte = 1e6;

/** Number of layers that fit while the given share of the memory (0 to 1) stays free for the KV cache. */
export function layersThatFit(engine: EngineProfile, kind: AcceleratorKind, reservedShare: number): number {
    const megabytes = kind.memoryMegabytes * (1 - reservedShare);
    return Math.min(engine.layerCount, Math.floor(megabytes / engine.layerMegabytes));
}

/** Number of tokens whose KV cache fits in the memory that the given number of layers leaves free. */
export function tokensThatFit(engine: EngineProfile, kind: AcceleratorKind, layers: number): number {
    const free = (kind.memoryMegabytes - layers * engine.layerMegabytes) * bytesPerMegabyte;
    const bytesPerToken = (engine.tokenCacheBytes / engine.layerCount) * layers;
    return bytesPerToken <= 0 ? Infinity : Math.max(0, free / bytesPerToken);
}
