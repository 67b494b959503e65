/**
 * Divides a capacity among weighted demands. Answers the load pattern of one customer that asks for many times its share, or
 * whose clients repeat refused requests at once: max-min fairness meets the demands below the fair level in full, whatever
 * the others ask for, and gives what they leave unused to the others by weight.
 */

export interface WeightedDemand {
    /** Of the same unit as the capacity, at least 0. */
    readonly demand: number;
    /** Above 0. */
    readonly weight: number;
}

export interface SharePolicy {
    /** Returns the share of each demand, in the same order; no share exceeds its demand, nor their sum the capacity. */
    divide(demands: readonly WeightedDemand[], capacity: number): number[];
}

/** Baseline: the same part of every demand, which is what first come, first served amounts to. */
export class ProportionalShares implements SharePolicy {
    divide(demands: readonly WeightedDemand[], capacity: number): number[] {
        const total = demands.reduce((sum, { demand }) => sum + demand, 0);
        const part = total <= capacity ? 1 : Math.max(0, capacity) / total;
        return demands.map(({ demand }) => demand * part);
    }
}

/** Weighted max-min fairness. */
export class FairShares implements SharePolicy {
    divide(demands: readonly WeightedDemand[], capacity: number): number[] {
        const level = findFairLevel(demands, capacity);
        return demands.map(({ demand, weight }) => Math.min(demand, level * weight));
    }
}

/** Capacity per unit of weight that each demand above its share gets; infinite if the capacity meets all demands. */
function findFairLevel(demands: readonly WeightedDemand[], capacity: number): number {
    const byLevel = [...demands].sort((left, right) => left.demand / left.weight - right.demand / right.weight);
    let weight = byLevel.reduce((sum, demand) => sum + demand.weight, 0);
    let left = Math.max(0, capacity);
    for (const { demand, weight: ownWeight } of byLevel) {
        if (demand / ownWeight > left / weight) {
            return left / weight;
        }
        left -= demand;
        weight -= ownWeight;
    }
    return Infinity;
}
