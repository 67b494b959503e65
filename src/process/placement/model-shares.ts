/** Computes each model's share of the fleet's compute from the customers' demand. */
import type { ModelDescription } from "../../domain/model.js";
import { compareNames } from "./compare-names.js";
import { minimumModelShare } from "./constants.js";
import type { ModelShare, PlacementDemand, PlacementInput } from "./types.js";

/**
 * One share for each model, largest first; the shares add up to 1. A model without demand gets a small share, so that
 * it can serve its first requests.
 */
export function computeShares(input: PlacementInput): ModelShare[] {
    const models = [...input.models.values()];
    const demand = new Map(models.map(model => [model.name, modelDemand(model.name, input.demand)]));
    const work = (model: ModelDescription) => demand.get(model.name)! * model.layerTotal;
    const total = models.reduce((sum, model) => sum + work(model), 0);
    const unnormalized = models.map(model => Math.max(minimumModelShare, total === 0 ? 1 : work(model) / total));
    const unnormalizedTotal = unnormalized.reduce((sum, share) => sum + share, 0);
    return models
        .map((model, index) => ({
            model,
            demandTokensPerSecond: demand.get(model.name)!,
            share: unnormalized[index]! / unnormalizedTotal,
        }))
        .sort((left, right) => right.share - left.share || compareNames(left.model.name, right.model.name));
}

function modelDemand(model: string, demand: readonly PlacementDemand[]): number {
    return demand.reduce((sum, item) => sum + (item.model === model ? item.tokensPerSecond : 0), 0);
}

/**
 * The model's adapters, sorted by descending demand. Adapters without demand are included at the end, so that their
 * first request does not have to wait for a load.
 */
export function sortAdaptersByDemand(model: ModelDescription, demand: readonly PlacementDemand[]): string[] {
    const adapterDemand = (adapter: string) =>
        demand.reduce(
            (sum, item) => sum + (item.model === model.name && item.adapter === adapter ? item.tokensPerSecond : 0),
            0,
        );
    return [...model.adapters].sort((left, right) =>
        adapterDemand(right) - adapterDemand(left) || compareNames(left, right)
    );
}
