import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import {
    findShortestPath,
    type PathStep,
    Phase,
    type SearchOption,
    type SearchProblem,
} from "../../../src/request/pipeline-choice/layered-search.js";

const locationTotal = 2;

function pathCost(problem: SearchProblem, steps: readonly PathStep[]): number {
    const options = steps.map(step => problem.options[step.option]!);
    let cost = problem.startCost(options[0]!.location);
    steps.forEach((step, index) => {
        const option = options[index]!;
        const layers = problem.boundaries[step.endBoundary]! - problem.boundaries[step.firstBoundary]!;
        const layerCost = step.phase === Phase.cached ? option.cachedLayerCost! : option.fullLayerCost;
        cost += option.entryCost + layers * layerCost;
        if (index > 0) {
            cost += problem.linkCost(options[index - 1]!.location, option.location, steps[index - 1]!.phase);
        }
    });
    return cost + problem.returnCost(options.at(-1)!.location, options[0]!.location);
}

/** Enumerates every path: all splits into stages, all options, and all positions of the phase change. */
function* allPaths(problem: SearchProblem, boundary = 0, phase: Phase = Phase.full): Generator<PathStep[]> {
    if (boundary === problem.boundaries.length - 1) {
        yield [];
        return;
    }
    const phases = phase === Phase.full ? [Phase.full, Phase.cached] : [Phase.cached];
    for (const nextPhase of phases) {
        for (const [index, option] of problem.options.entries()) {
            const isUsable = option.firstBoundary <= boundary
                && (nextPhase === Phase.full || option.cachedLayerCost !== undefined);
            for (let end = boundary + 1; isUsable && end <= option.endBoundary; end++) {
                for (const rest of allPaths(problem, end, nextPhase)) {
                    yield [{ option: index, firstBoundary: boundary, endBoundary: end, phase: nextPhase }, ...rest];
                }
            }
        }
    }
}

const optionArbitrary = fastCheck.record({
    location: fastCheck.integer({ min: 0, max: locationTotal - 1 }),
    firstBoundary: fastCheck.integer({ min: 0, max: 2 }),
    length: fastCheck.integer({ min: 1, max: 3 }),
    entryCost: fastCheck.integer({ min: 0, max: 20 }),
    cachedLayerCost: fastCheck.option(fastCheck.integer({ min: 0, max: 5 }), { nil: undefined }),
    fullLayerCost: fastCheck.integer({ min: 1, max: 20 }),
});

describe("findShortestPath", () => {
    test("finds a path with the lowest cost, or returns undefined exactly if no path exists", () => {
        const costArbitrary = fastCheck.array(fastCheck.integer({ min: 0, max: 30 }), { minLength: 14, maxLength: 14 });
        fastCheck.assert(
            fastCheck.property(
                fastCheck.array(optionArbitrary, { maxLength: 5 }),
                costArbitrary,
                (generated, costs) => {
                    const options = generated.map(({ length, ...option }): SearchOption => ({
                        ...option,
                        endBoundary: Math.min(3, option.firstBoundary + length),
                    }));
                    const problem: SearchProblem = {
                        boundaries: [0, 2, 3, 7],
                        locationTotal,
                        options,
                        startCost: location => costs[location]!,
                        linkCost: (from, to, phase) => costs[2 + from * 4 + to * 2 + phase]!,
                        returnCost: (from, to) => costs[10 + from * 2 + to]!,
                    };
                    let lowestCost = Number.POSITIVE_INFINITY;
                    for (const steps of allPaths(problem)) {
                        lowestCost = Math.min(lowestCost, pathCost(problem, steps));
                    }
                    const found = findShortestPath(problem);
                    expect(found?.cost ?? Number.POSITIVE_INFINITY).toBe(lowestCost);
                    if (found !== undefined) {
                        expect(pathCost(problem, found.steps)).toBe(lowestCost);
                        expect(found.steps[0]!.firstBoundary).toBe(0);
                        expect(found.steps.at(-1)!.endBoundary).toBe(3);
                    }
                },
            ),
            { seed: 31, numRuns: 500 },
        );
    });
});
