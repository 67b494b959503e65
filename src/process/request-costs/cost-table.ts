/**
 * Learned costs by key. Keys are given from the general to the special, such as a route and one customer's share of it: what
 * the general one has learnt is the starting point of the special one, which then differs as far as its own observations
 * do. Those that are used least are forgotten.
 */
import { LRUCache } from "lru-cache";
import { type CostPrior, LearnedCost } from "./learned-cost.js";
import type { LogNormal } from "./log-normal.js";

/** Bounds the memory, about 200 bytes each: 300 customers on each of 30 routes. */
const maximumKeys = 10_000;
/** Smaller and larger values are not told apart; the logarithms stay finite. */
const minimumValue = 1e-3;
const maximumValue = 1e9;

export class CostTable {
    private readonly costs = new LRUCache<string, LearnedCost>({ max: maximumKeys });

    /** Number of keys that are kept. */
    get size(): number {
        return this.costs.size;
    }

    estimate(keys: readonly string[], prior: CostPrior, predictor?: number): LogNormal {
        for (let index = keys.length - 1; index >= 0; index--) {
            const cost = this.costs.get(keys[index]!);
            if (cost !== undefined) {
                return cost.distribution(toPredictor(predictor));
            }
        }
        return new LearnedCost(prior).distribution(toPredictor(predictor));
    }

    /** Ignores values that are not positive numbers. */
    record(keys: readonly string[], prior: CostPrior, value: number, predictor?: number): void {
        if (!(value > 0)) {
            return;
        }
        let general: CostPrior | LearnedCost = prior;
        const recorded: LearnedCost[] = [];
        for (const key of keys) {
            let cost = this.costs.get(key);
            if (cost === undefined) {
                cost = new LearnedCost(general);
                this.costs.set(key, cost);
            }
            general = cost;
            recorded.push(cost);
        }
        // Only then, so that a new quantity does not begin with an observation that it is about to record.
        recorded.forEach(cost => cost.record(toRange(value), toPredictor(predictor)));
    }
}

function toPredictor(value: number | undefined): number | undefined {
    return value !== undefined && value > 0 ? toRange(value) : undefined;
}

function toRange(value: number): number {
    return Math.min(maximumValue, Math.max(minimumValue, value));
}
