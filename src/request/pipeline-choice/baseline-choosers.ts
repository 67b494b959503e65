/** Benchmark baselines for choosing a pipeline: round robin, fewest own attempts in flight, and nearest first. */
import { randomUUID } from "node:crypto";
import { monotonicNow } from "../../common/clock.js";
import { randomInteger, type RandomSource } from "../../common/random.js";
import { PipelinePlan, type Stage } from "../../domain/pipeline-plan.js";
import type { Location } from "../../domain/topology.js";
import { NoPipelineError } from "../../errors/index.js";
import type { BackendServerSource, PipelineGraphs } from "../../version/pipeline-graph/pipeline-graphs.js";
import type { PipelineServer } from "../../version/pipeline-graph/types.js";
import type { PipelineChoice, PipelineChooser, PipelineRequest } from "./types.js";

/** Builds a plan greedily: repeatedly picks a server that holds the next layer and runs it to its last layer. */
abstract class LayerByLayerChooser implements PipelineChooser {
    constructor(protected readonly graphs: PipelineGraphs, protected readonly servers: BackendServerSource) {}

    protected abstract pick(candidates: readonly PipelineServer[]): PipelineServer;

    choose(request: PipelineRequest): PipelineChoice {
        const now = monotonicNow();
        const usable = this.graphs.get(request.model).servers.filter(server =>
            !request.excluded.has(server.id) && (this.servers.get(server.id)?.isUsable(now) ?? false)
            && (request.adapter === undefined || server.adapters.includes(request.adapter))
        );
        const { name, layerTotal } = request.model;
        const stages: Stage[] = [];
        for (let layer = 0; layer < layerTotal;) {
            const candidates = usable.filter(({ layers }) => layers.first <= layer && layer <= layers.last);
            if (candidates.length === 0) {
                throw new NoPipelineError(name);
            }
            const { id, address, layers } = this.pick(candidates);
            stages.push({ backendServer: id, address, layers: { first: layer, last: layers.last } });
            layer = layers.last + 1;
        }
        return {
            plan: new PipelinePlan(randomUUID(), name, layerTotal, stages),
            expectedFirstTokenMilliseconds: 0,
            expectedTokenMilliseconds: 0,
            recomputedTokens: request.promptTokens + request.generatedTokens,
            considered: usable.map(server => server.id),
            reason: "baseline",
        };
    }
}

/** Cycles through the candidates with one counter for all layers. */
export class RoundRobinPipelineChooser extends LayerByLayerChooser {
    private pickCount = 0;

    protected override pick(candidates: readonly PipelineServer[]): PipelineServer {
        this.pickCount++;
        return candidates[this.pickCount % candidates.length]!;
    }
}

/** Picks the server on which this router has the fewest attempts in flight. */
export class LeastInFlightPipelineChooser extends LayerByLayerChooser {
    protected override pick(candidates: readonly PipelineServer[]): PipelineServer {
        const inFlight = (server: PipelineServer) => this.servers.get(server.id)?.ownAttempts ?? 0;
        return candidates.reduce((best, server) => inFlight(server) < inFlight(best) ? server : best);
    }
}

/** Picks a random server among those with the lowest latency from the router. */
export class NearestFirstPipelineChooser extends LayerByLayerChooser {
    constructor(
        graphs: PipelineGraphs,
        servers: BackendServerSource,
        private readonly location: Location,
        private readonly random: RandomSource,
    ) {
        super(graphs, servers);
    }

    protected override pick(candidates: readonly PipelineServer[]): PipelineServer {
        const latency = (server: PipelineServer) =>
            this.graphs.configuration.topology.link(this.location, server.location).latencyMilliseconds;
        const lowestLatency = Math.min(...candidates.map(latency));
        const nearest = candidates.filter(server => latency(server) === lowestLatency);
        return nearest[randomInteger(this.random, nearest.length)]!;
    }
}
