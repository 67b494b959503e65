/** Log line and metric of each run of a stream, from which a request's course can be followed. */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { formatPath, type LayerPath, type RequestSize } from "./layer-path-finder.js";
import type { AttemptResult } from "./stream-attempt.js";
import type { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

/** The count of all is logged beside them. */
const maximumLoggedParts = 32;

export interface EndedRunRecord {
    readonly request: GatewayRequest;
    /** Size that was expected when the request arrived. */
    readonly size: RequestSize;
    readonly path: LayerPath;
    readonly result: AttemptResult;
    /** Monotonic time in milliseconds. */
    readonly startedAt: number;
    /** ID of the server that a refusal names as the cause. */
    readonly atFault: string | undefined;
    readonly registryGeneration: number;
    readonly progress: StreamProgress;
}

export function logEndedRun(record: EndedRunRecord, metrics: Metrics, logger: Logger): void {
    const { request, size, path, result, progress } = record;
    const { firstEventAt } = progress;
    metrics.increment("pomelostall.gateway.stream_attempts", 1, { outcome: result.end });
    logger.decision({
        kind: "stream-attempt",
        chosen: formatPath(path),
        over: [],
        reason: result.reason,
        configurationVersion: request.configurationVersion,
        requestId: request.id,
        fields: {
            outcome: result.end,
            atFault: record.atFault,
            cost: Math.round(path.cost),
            registryGeneration: record.registryGeneration,
            streamStarted: result.streamStarted,
            deliveredEvents: result.deliveredEvents,
            sharedPromptParts: request.sharedPromptParts.slice(0, maximumLoggedParts).join(","),
            sharedPromptPartCount: request.sharedPromptParts.length,
            lastEventId: progress.lastEventId,
            route: request.route.name,
            customer: request.customer,
            lengthHint: request.lengthHint,
            maximumOutputTokens: request.tokens?.maximumOutput,
            expectedOutputTokens: Math.round(size.outputTokens),
            firstEventMilliseconds: firstEventAt === undefined
                ? undefined
                : Math.round(firstEventAt - request.receivedAt),
            longestPauseMilliseconds: Math.round(progress.longestPauseMilliseconds),
            startedAfterMilliseconds: Math.round(record.startedAt - request.receivedAt),
            milliseconds: Math.round(monotonicNow() - request.receivedAt),
        },
    });
}
