/** Builds the message that starts one attempt of an answer on a backend server. */
import type { AttemptRequest } from "../../domain/engine-protocol.js";
import type { PipelinePlan } from "../../domain/pipeline-plan.js";
import type { AnswerRequest } from "./types.js";

/** `generated` holds the tokens after which the attempt resumes, `remaining` the time to the deadline in milliseconds. */
export function createAttemptRequest(
    request: AnswerRequest,
    attemptId: string,
    plan: PipelinePlan,
    generated: readonly string[],
    remaining: number,
): AttemptRequest {
    const { model, route, messages, maximumTokens, requestId } = request;
    return {
        attemptId,
        planId: plan.id,
        requestId,
        model: model.name,
        modelVersion: model.version,
        adapter: route.adapter,
        stages: plan.stages,
        messages,
        generated,
        maximumTokens,
        // Lower numbers run first: within one route priority, resumed answers run before new ones. Doubling the
        // route's priority keeps a resumed answer from passing the answers of a higher-priority route.
        priority: route.priority * 2 + (generated.length > 0 ? 0 : 1),
        timeoutMilliseconds: remaining,
    };
}
