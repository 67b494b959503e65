/** A pipeline plan: which backend server runs which layers of one attempt, in order. */
import { InvalidPlanError } from "../errors/index.js";
import { formatLayerRange, type LayerRange } from "./layers.js";

/** Where a stage finds KV cache that saves it from computing the prefix again. */
export type CacheSource =
    /** The stage's own backend server still holds it from an earlier attempt. */
    | { readonly kind: "kept"; readonly attemptId: string; }
    /** The stage imports it from another backend server that held the same layers. */
    | { readonly kind: "imported"; readonly attemptId: string; readonly address: string; };

/** One stage of a pipeline. */
export interface Stage {
    readonly backendServer: string;
    /** Base URL of the backend server, by IP number. */
    readonly address: string;
    readonly layers: LayerRange;
    readonly cache?: CacheSource;
}

/** A list of stages that tiles a model's layers exactly. It cannot be built otherwise. */
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
                    `layers ${formatLayerRange(stage.layers)} do not follow layer ${next - 1}`,
                );
            }
            next = last + 1;
        }
        if (next !== layerTotal) {
            throw new InvalidPlanError(id, `the stages cover ${next} of ${layerTotal} layers`);
        }
    }

    /** The ranges that every token must run through, in order. */
    get layerRanges(): LayerRange[] {
        return this.stages.map(stage => stage.layers);
    }

    uses(backendServer: string): boolean {
        return this.stages.some(stage => stage.backendServer === backendServer);
    }
}
