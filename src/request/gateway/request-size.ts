/** Sizes of streaming requests: the prompt as its caller states it, the output as requests like it have turned out. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RequestCostEstimator, StreamCostQuery } from "../../process/request-costs/types.js";
import type { RequestSize } from "./layer-path-finder.js";
import type { GatewayRequest } from "./types.js";

export function requestSize(
    request: GatewayRequest,
    engine: EngineProfile,
    costs: Pick<RequestCostEstimator, "estimateOutput">,
): RequestSize {
    const { meanTokens, upperTokens } = costs.estimateOutput(streamCostQuery(request, engine));
    return {
        promptTokens: request.tokens?.prompt ?? engine.typicalPromptTokens,
        outputTokens: meanTokens,
        upperOutputTokens: upperTokens,
    };
}

export function streamCostQuery(request: GatewayRequest, engine: EngineProfile): StreamCostQuery {
    return {
        service: request.service,
        route: request.route.name,
        customer: request.customer,
        engine,
        lengthHint: request.lengthHint,
        maximumOutputTokens: request.tokens?.maximumOutput,
    };
}
