import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { PipelinePlan } from "../../src/domain/pipeline-plan.js";
import { InvalidPlanError } from "../../src/errors/index.js";

function stage(first: number, last: number) {
    return { backendServer: `server-${first}`, address: "http://127.0.0.1:1", layers: { first, last } };
}

describe("PipelinePlan", () => {
    test("accepts stages that tile the model", () => {
        const plan = new PipelinePlan("plan", "model", 24, [stage(0, 11), stage(12, 23)]);
        expect(plan.layerRanges).toEqual([{ first: 0, last: 11 }, { first: 12, last: 23 }]);
    });

    test.each([
        ["a gap", [stage(0, 10), stage(12, 23)]],
        ["an overlap", [stage(0, 12), stage(12, 23)]],
        ["a missing start", [stage(1, 23)]],
        ["a missing end", [stage(0, 22)]],
        ["the wrong order", [stage(12, 23), stage(0, 11)]],
        ["no stages", []],
    ])("refuses %s", (_name, stages) => {
        expect(() => new PipelinePlan("plan", "model", 24, stages)).toThrow(InvalidPlanError);
    });

    test("accepts a list of ranges exactly when it covers each layer once and in order", () => {
        const range = fastCheck.tuple(fastCheck.integer({ min: 0, max: 5 }), fastCheck.integer({ min: 0, max: 5 }));
        fastCheck.assert(
            fastCheck.property(fastCheck.array(range, { maxLength: 4 }), ranges => {
                const covered = ranges.flatMap(([first, last]) =>
                    Array.from({ length: Math.max(0, last - first + 1) }, (_unused, index) => first + index)
                );
                const exact = covered.length === 6 && covered.every((layer, index) => layer === index)
                    && ranges.every(([first, last]) => last >= first);
                const build = () =>
                    new PipelinePlan("plan", "model", 6, ranges.map(([first, last]) => stage(first, last)));
                if (exact) {
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
