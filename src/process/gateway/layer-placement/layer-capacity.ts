/** How many layers an accelerator holds beside the KV cache of requests, and how many tokens fit beside its layers. */
import type { AcceleratorKind, EngineProfile } from "../../../domain/gateway/configuration.js";

const bytesPerMegabyte = 1e6;

/** Layers that leave the given share of the memory to requests. */
export function layersThatFit(engine: EngineProfile, kind: AcceleratorKind, reservedShare: number): number {
    const megabytes = kind.memoryMegabytes * (1 - reservedShare);
    return Math.min(engine.layerCount, Math.floor(megabytes / engine.layerMegabytes));
}

/** Tokens whose KV cache fits beside the layers. */
export function tokensThatFit(engine: EngineProfile, kind: AcceleratorKind, layers: number): number {
    const free = (kind.memoryMegabytes - layers * engine.layerMegabytes) * bytesPerMegabyte;
    const bytesPerToken = (engine.tokenCacheBytes / engine.layerCount) * layers;
    return bytesPerToken <= 0 ? Infinity : Math.max(0, free / bytesPerToken);
}
