/** Turns the demand of customers for models into shares of the fleet's compute. */
import type { ModelDescription } from "../../domain/model.js";
import { minimumModelShare } from "./constants.js";
import { compareNames } from "./ordering.js";
import type { ModelShare, PlacementDemand, PlacementInput } from "./types.js";

/** One share for each model, largest first. A model that nobody asks for keeps a small share, so that it can answer. */
export function computeShares(input: PlacementInput): ModelShare[] {
    const models = [...input.models.values()];
    const demand = new Map(models.map(model => [model.name, modelDemand(model.name, input.demand)]));
    const work = (model: ModelDescription) => demand.get(model.name)! * model.layerTotal;
    const total = models.reduce((sum, model) => sum + work(model), 0);
    const raw = models.map(model => Math.max(minimumModelShare, total === 0 ? 1 : work(model) / total));
    const rawTotal = raw.reduce((sum, share) => sum + share, 0);
    return models
        .map((model, index) => ({
            model,
            demandTokensPerSecond: demand.get(model.name)!,
            share: raw[index]! / rawTotal,
        }))
        .sort((left, right) => right.share - left.share || compareNames(left.model.name, right.model.name));
}

function modelDemand(model: string, demand: readonly PlacementDemand[]): number {
    return demand.reduce((sum, item) => sum + (item.model === model ? item.tokensPerSecond : 0), 0);
}

/**
 * Adapters to load beside a model, those with the most demand first; adapters without demand follow, so that their
 * first request does not have to wait for a load.
 */
export function adapterOrder(model: ModelDescription, demand: readonly PlacementDemand[]): string[] {
    const asked = (adapter: string) =>
        demand.reduce(
            (sum, item) => sum + (item.model === model.name && item.adapter === adapter ? item.tokensPerSecond : 0),
            0,
        );
    return [...model.adapters].sort((left, right) => asked(right) - asked(left) || compareNames(left, right));
}
