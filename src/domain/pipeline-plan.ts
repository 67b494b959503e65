/** A pipeline plan: the assignment of a model's layers to backend servers, in order, for one attempt. */
import { InvalidPlanError } from "../errors/index.js";
import { formatLayerRange, type LayerRange } from "./layers.js";

/** Source of KV cache that a stage reuses instead of computing the prefix again. */
export type CacheSource =
    /** The stage's own backend server still holds the KV cache of an earlier attempt. */
    | { readonly kind: "kept"; readonly attemptId: string; }
    /** The stage imports the KV cache from another backend server that ran the same layers. */
    | { readonly kind: "imported"; readonly attemptId: string; readonly address: string; };

export interface Stage {
    readonly backendServer: string;
    /** Base URL of the backend server, with an IP address. */
    readonly address: string;
    readonly layers: LayerRange;
    readonly cache?: CacheSource;
}

/**
 * Stages that cover each of a model's layers exactly once and in order. The constructor throws an InvalidPlanError for
 * any other list of stages.
 */
export class PipelinePlan {
    constructor(
        readonly id: string,
        readonly model: string,
        readonly layerTotal: number,
        readonly stages: readonly Stage[],
    ) {
        let next = 0;
        for (const stage of stages) {
            const { first, last } = stage.layers;
            if (!Number.isInteger(first) || !Number.isInteger(last) || first !== next || last < first) {
                throw new InvalidPlanError(
                    id,
                    `got layers ${formatLayerRange(stage.layers)}, expected a range directly after layer ${next - 1}`,
                );
            }
            next = last + 1;
        }
        if (next !== layerTotal) {
            throw new InvalidPlanError(id, `the stages cover ${next} layers, expected ${layerTotal}`);
        }
    }

    /** The layer ranges through which every token passes, in order. */
    get layerRanges(): LayerRange[] {
        return this.stages.map(stage => stage.layers);
    }

    uses(backendServer: string): boolean {
        return this.stages.some(stage => stage.backendServer === backendServer);
    }
}
