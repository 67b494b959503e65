/**
 * Power of choices: of each group of servers alike, a choice compares only a few drawn at random, so that many routers
 * that see the same late reports do not all take the server that looked best.
 */
import type { RandomSource } from "../../common/random.js";
import type { Candidate } from "./candidate-index.js";

/** Draws up to the given number, with the candidates' weights and without repetition. */
export function sampleGroup(
    candidates: readonly Candidate[],
    isUsable: (candidate: Candidate) => boolean,
    total: number,
    random: RandomSource,
): Candidate[] {
    const remaining = candidates.filter(isUsable);
    if (remaining.length <= total) {
        return remaining;
    }
    const drawn: Candidate[] = [];
    let weight = remaining.reduce((sum, candidate) => sum + candidate.weight, 0);
    while (drawn.length < total) {
        const index = drawIndex(remaining, weight, random);
        const [candidate] = remaining.splice(index, 1);
        drawn.push(candidate!);
        weight -= candidate!.weight;
    }
    return drawn;
}

function drawIndex(candidates: readonly Candidate[], weight: number, random: RandomSource): number {
    let point = random.next() * weight;
    for (let index = 0; index < candidates.length - 1; index++) {
        point -= candidates[index]!.weight;
        if (point < 0) {
            return index;
        }
    }
    return candidates.length - 1;
}
