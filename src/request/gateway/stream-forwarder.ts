/** Forwards streams from model engines to callers, with one `StreamRequestHandler` for each request. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import { RunningAttempts } from "./attempt-supervisor.js";
import type { CallerResponse } from "./caller-response.js";
import { type StreamRequestDependencies, StreamRequestHandler } from "./stream-request-handler.js";
import type { GatewayRequest } from "./types.js";

export class StreamForwarder {
    private readonly runningAttempts = new RunningAttempts();

    constructor(private readonly dependencies: StreamRequestDependencies) {
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
        await new StreamRequestHandler(this.dependencies, this.runningAttempts, request, engine, response).run();
    }
}
