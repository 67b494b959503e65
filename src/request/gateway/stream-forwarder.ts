/** Forwards streams from model engines to callers, with one `StreamRequestHandler` for each request. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RouterShares } from "../../process/customer-shares/router-shares.js";
import { RunningAttempts } from "./attempt-supervisor.js";
import type { CallerResponse } from "./caller-response.js";
import { requestSize } from "./request-size.js";
import { type StreamRequestDependencies, StreamRequestHandler } from "./stream-request-handler.js";
import type { GatewayRequest } from "./types.js";

export interface StreamForwarderDependencies extends StreamRequestDependencies {
    readonly shares: Pick<RouterShares, "recordAsked" | "recordTaken">;
}

export class StreamForwarder {
    private readonly runningAttempts = new RunningAttempts();

    constructor(private readonly dependencies: StreamForwarderDependencies) {
        const { registry } = dependencies;
        registry.onNotice(() =>
            this.runningAttempts.recheckParts(({ server, layers }) => registry.hasDroppedLayers(server, layers))
        );
    }

    /**
     * Throws a PomelostallError if the stream could not be completed. If part of the response was already written, the
     * connection to the caller has been closed by then.
     */
    async forward(request: GatewayRequest, engine: EngineProfile, response: CallerResponse): Promise<void> {
        const dependencies = { ...this.dependencies, load: this.countDemand(request, engine) };
        await new StreamRequestHandler(dependencies, this.runningAttempts, request, engine, response).run();
    }

    /** Counts the request as demand of its customer: now as asked for, and once its first run begins as taken. */
    private countDemand(request: GatewayRequest, engine: EngineProfile): StreamRequestDependencies["load"] {
        const { shares, load } = this.dependencies;
        const { service, customer } = request;
        const { promptTokens, outputTokens } = requestSize(request, engine);
        shares.recordAsked(service, customer, promptTokens + outputTokens);
        let taken = false;
        return {
            beginRequest: (serverIds, tokens) => {
                if (!taken) {
                    taken = true;
                    shares.recordTaken(service, customer, promptTokens + outputTokens);
                }
                return load.beginRequest(serverIds, tokens);
            },
        };
    }
}
