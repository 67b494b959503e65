/** A model engine in a simulation: memory for the requests whose paths include it, and steps that slow down with load. */
import type { EngineProfile } from "../../domain/gateway/configuration.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import { layerCount, type LayerRange } from "../../domain/layers.js";
import { tokensThatFit } from "../../process/gateway/layer-placement/layer-capacity.js";

export class SimulatedEngine {
    /** Requests that this engine has received as the first of their path. */
    arrivals = 0;
    lost = false;
    /** Factor on the duration of its work. */
    slowdown = 1;
    readonly tokenCapacity: number;
    private requests = 0;
    private tokens = 0;

    constructor(readonly entry: ServerEntry, private readonly profile: EngineProfile) {
        const kind = profile.kinds.get(entry.kind!)!;
        this.tokenCapacity = entry.layers === undefined
            ? 0
            : tokensThatFit(profile, kind, layerCount(entry.layers));
    }

    /** Share of the memory for requests that is in use. */
    get memoryUse(): number {
        return this.tokenCapacity === 0 ? 0 : this.tokens / this.tokenCapacity;
    }

    get runningRequests(): number {
        return this.requests;
    }

    canAccept(tokens: number): boolean {
        return !this.lost && this.tokens + tokens <= this.tokenCapacity;
    }

    begin(tokens: number): void {
        this.requests++;
        this.tokens += tokens;
    }

    end(tokens: number): void {
        this.requests--;
        this.tokens -= tokens;
    }

    /** Time of one token on the given layers under the present load, in milliseconds. */
    tokenMilliseconds(layers: LayerRange): number {
        const { stepMilliseconds, stepMillisecondsPerRequest, stepMillisecondsPerThousandTokens } = this.profile;
        const step = stepMilliseconds + stepMillisecondsPerRequest * this.requests
            + stepMillisecondsPerThousandTokens * this.tokens / 1_000;
        const { stepFactor } = this.profile.kinds.get(this.entry.kind!)!;
        return step * stepFactor * this.slowdown * layerCount(layers) / this.profile.layerCount;
    }
}
