/**
 * The expected and the actual cost of one stream: its size before it runs, its part of its customer's demand and of the
 * servers' load, and what its end teaches.
 */
import type { Metrics } from "../../common/metrics.js";
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { RouterShares } from "../../process/customer-shares/router-shares.js";
import type { LocalServerLoad, RunningStream } from "../../process/gateway/local-server-load.js";
import type { OutputEstimate, RequestCostEstimator } from "../../process/request-costs/types.js";
import type { LayerPath, RequestSize } from "./layer-path-finder.js";
import { requestSize, streamCostQuery } from "./request-size.js";
import type { StreamProgress } from "./stream-progress.js";
import type { GatewayRequest } from "./types.js";

export interface StreamCostDependencies {
    readonly load: LocalServerLoad;
    readonly costs: RequestCostEstimator;
    readonly shares: Pick<RouterShares, "recordAsked" | "recordTaken">;
    readonly metrics: Metrics;
}

export class StreamCost {
    readonly size: RequestSize;
    private readonly output: OutputEstimate;
    private hasBegunRun = false;

    constructor(
        private readonly dependencies: StreamCostDependencies,
        private readonly request: GatewayRequest,
        private readonly engine: EngineProfile,
        private readonly progress: StreamProgress,
    ) {
        this.output = dependencies.costs.estimateOutput(streamCostQuery(request, engine));
        this.size = requestSize(request, engine, { estimateOutput: () => this.output });
    }

    /** Counts the request as asked for by its customer, whatever becomes of it. */
    recordArrival(): void {
        this.dependencies.shares.recordAsked(this.request.service, this.request.customer, this.tokens);
    }

    /** Counts a run on the servers of its path, in view of what earlier runs have generated. */
    beginRun(path: LayerPath): RunningStream {
        if (!this.hasBegunRun) {
            this.hasBegunRun = true;
            this.dependencies.shares.recordTaken(this.request.service, this.request.customer, this.tokens);
        }
        const serverIds = path.parts.map(({ server }) => server.id);
        const running = this.dependencies.load.beginStream(serverIds, this.size.promptTokens, this.output);
        this.recordEvents(running);
        return running;
    }

    recordEvents(running: RunningStream): void {
        running.recordOutput(this.generatedTokens);
    }

    /** Learns from a complete stream. The rest of one that the caller had begun to receive before tells nothing of its length. */
    recordComplete(): void {
        const { dependencies, request, engine, generatedTokens } = this;
        if (request.resumedAfter !== undefined) {
            return;
        }
        dependencies.costs.recordOutput(streamCostQuery(request, engine), generatedTokens);
        dependencies.metrics.increment("pomelostall.gateway.output_estimates", 1, {
            outcome: generatedTokens <= this.output.upperTokens ? "held" : "exceeded",
        });
    }

    private get tokens(): number {
        return this.size.promptTokens + this.size.outputTokens;
    }

    private get generatedTokens(): number {
        return this.progress.deliveredEvents * this.engine.tokensPerEvent;
    }
}
