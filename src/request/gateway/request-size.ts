/** Estimates the size of a streaming request from what its caller states and from the model's typical requests. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RequestSize } from "./layer-path-finder.js";
import type { GatewayRequest } from "./types.js";

export function requestSize(request: GatewayRequest, engine: EngineProfile): RequestSize {
    const outputTokens = Math.min(engine.typicalOutputTokens, request.tokens?.maximumOutput ?? Infinity);
    return { promptTokens: request.tokens?.prompt ?? engine.typicalPromptTokens, outputTokens: outputTokens };
}
