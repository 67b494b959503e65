/**
 * Randomized load balancing ("power of two choices"): only a few randomly sampled servers of each group are compared,
 * so that many routers acting on the same stale load reports do not all pick the server that looks least loaded.
 */
import type { RandomSource } from "../../common/random.js";
import type { Candidate } from "./candidate-index.js";

/** Weighted random sample without replacement; all usable candidates if there are at most `sampleSize`. */
export function sampleCandidates(
    candidates: readonly Candidate[],
    isUsable: (candidate: Candidate) => boolean,
    sampleSize: number,
    random: RandomSource,
): Candidate[] {
    const remaining = candidates.filter(isUsable);
    if (remaining.length <= sampleSize) {
        return remaining;
    }
    const sampled: Candidate[] = [];
    let totalWeight = remaining.reduce((sum, candidate) => sum + candidate.weight, 0);
    while (sampled.length < sampleSize) {
        const index = drawWeightedIndex(remaining, totalWeight, random);
        const [candidate] = remaining.splice(index, 1);
        sampled.push(candidate!);
        totalWeight -= candidate!.weight;
    }
    return sampled;
}

function drawWeightedIndex(candidates: readonly Candidate[], weight: number, random: RandomSource): number {
    let remainingWeight = random.next() * weight;
    for (let index = 0; index < candidates.length - 1; index++) {
        remainingWeight -= candidates[index]!.weight;
        if (remainingWeight < 0) {
            return index;
        }
    }
    return candidates.length - 1;
}
