import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { PipelinePlan } from "../../src/domain/pipeline-plan.js";
import { InvalidPlanError } from "../../src/errors/index.js";

function stage(first: number, last: number) {
    return { backendServer: `server-${first}`, address: "http://127.0.0.1:1", layers: { first, last } };
}

describe("PipelinePlan", () => {
    test("accepts stages that cover each layer of the model once and in order", () => {
        const plan = new PipelinePlan("plan", "model", 24, [stage(0, 11), stage(12, 23)]);
        expect(plan.layerRanges).toEqual([{ first: 0, last: 11 }, { first: 12, last: 23 }]);
    });

    test.each([
        ["a gap between stages", [stage(0, 10), stage(12, 23)]],
        ["overlapping stages", [stage(0, 12), stage(12, 23)]],
        ["a missing first layer", [stage(1, 23)]],
        ["a missing last layer", [stage(0, 22)]],
        ["stages in the wrong order", [stage(12, 23), stage(0, 11)]],
        ["an empty list of stages", []],
    ])("rejects %s", (_name, stages) => {
        expect(() => new PipelinePlan("plan", "model", 24, stages)).toThrow(InvalidPlanError);
    });

    test("accepts a list of ranges if and only if it covers each layer once and in order", () => {
        const rangeArbitrary = fastCheck.tuple(
            fastCheck.integer({ min: 0, max: 5 }),
            fastCheck.integer({ min: 0, max: 5 }),
        );
        fastCheck.assert(
            fastCheck.property(fastCheck.array(rangeArbitrary, { maxLength: 4 }), ranges => {
                const covered = ranges.flatMap(([first, last]) =>
                    Array.from({ length: Math.max(0, last - first + 1) }, (_unused, index) => first + index)
                );
                const isExactCover = covered.length === 6 && covered.every((layer, index) => layer === index)
                    && ranges.every(([first, last]) => last >= first);
                const build = () =>
                    new PipelinePlan("plan", "model", 6, ranges.map(([first, last]) => stage(first, last)));
                if (isExactCover) {
                    expect(build).not.toThrow();
                }
                else {
                    expect(build).toThrow(InvalidPlanError);
                }
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});
