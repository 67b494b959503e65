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
        const layerCost = step.phase === Phase.cached ? option.cachedLayerCost! : option.wholeLayerCost;
        cost += option.entryCost + layers * layerCost;
        if (index > 0) {
            cost += problem.linkCost(options[index - 1]!.location, option.location, steps[index - 1]!.phase);
        }
    });
    return cost + problem.returnCost(options.at(-1)!.location, options[0]!.location);
}

/** Every path: all cuts, all options, all places where the phase changes. */
function* allPaths(problem: SearchProblem, boundary = 0, phase: Phase = Phase.whole): Generator<PathStep[]> {
    if (boundary === problem.boundaries.length - 1) {
        yield [];
        return;
    }
    const phases = phase === Phase.whole ? [Phase.whole, Phase.cached] : [Phase.cached];
    for (const next of phases) {
        for (const [index, option] of problem.options.entries()) {
            const possible = option.firstBoundary <= boundary
                && (next === Phase.whole || option.cachedLayerCost !== undefined);
            for (let end = boundary + 1; possible && end <= option.endBoundary; end++) {
                for (const rest of allPaths(problem, end, next)) {
                    yield [{ option: index, firstBoundary: boundary, endBoundary: end, phase: next }, ...rest];
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
    wholeLayerCost: fastCheck.integer({ min: 1, max: 20 }),
});

describe("layered search", () => {
    test("finds a path of least cost, or none exactly when there is none", () => {
        const numbers = fastCheck.array(fastCheck.integer({ min: 0, max: 30 }), { minLength: 14, maxLength: 14 });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(optionArbitrary, { maxLength: 5 }), numbers, (drawn, costs) => {
                const options = drawn.map(({ length, ...option }): SearchOption => ({
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
                let least = Number.POSITIVE_INFINITY;
                for (const steps of allPaths(problem)) {
                    least = Math.min(least, pathCost(problem, steps));
                }
                const found = findShortestPath(problem);
                expect(found?.cost ?? Number.POSITIVE_INFINITY).toBe(least);
                if (found !== undefined) {
                    expect(pathCost(problem, found.steps)).toBe(least);
                    expect(found.steps[0]!.firstBoundary).toBe(0);
                    expect(found.steps.at(-1)!.endBoundary).toBe(3);
                }
            }),
            { seed: 31, numRuns: 500 },
        );
    });
});
