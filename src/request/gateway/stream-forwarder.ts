/** Passes streams from the engines to callers, one run of `StreamRun` for each request. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import { RunningAttempts } from "./attempt-supervisor.js";
import type { CallerResponse } from "./caller-response.js";
import { StreamRun, type StreamRunParts } from "./stream-run.js";
import type { GatewayRequest } from "./types.js";

export class StreamForwarder {
    private readonly running = new RunningAttempts();

    constructor(private readonly parts: StreamRunParts) {
        const { registry } = parts;
        registry.onNotice(() =>
            this.running.reviewParts(({ server, layers }) => registry.hasDroppedLayers(server, layers))
        );
    }

    /** Throws a PomelostallError if nothing was written to the caller. */
    async forward(request: GatewayRequest, engine: EngineProfile, response: CallerResponse): Promise<void> {
        await new StreamRun(this.parts, this.running, request, engine, response).run();
    }
}
