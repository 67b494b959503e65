import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { MaximumFlow } from "../../../src/domain/flow/maximum-flow.js";

describe("MaximumFlow", () => {
    test("finds the flow of a network that needs a path to be undone", () => {
        const flow = new MaximumFlow(4);
        const edges = [
            flow.addEdge(0, 1, 1),
            flow.addEdge(0, 2, 1),
            flow.addEdge(1, 2, 1),
            flow.addEdge(1, 3, 1),
            flow.addEdge(2, 3, 1),
        ];
        expect(flow.solve(0, 3)).toBe(2);
        expect(edges.map(edge => flow.flowOn(edge))).toEqual([1, 1, 0, 1, 1]);
        flow.setCapacity(edges[4]!, 0.5);
        expect(flow.solve(0, 3)).toBe(1.5);
    });

    test("gives a flow equal to the capacity of the cut that it reports, and conserves it", () => {
        const edge = fastCheck.tuple(
            fastCheck.integer({ min: 0, max: 6 }),
            fastCheck.integer({ min: 0, max: 6 }),
            fastCheck.integer({ min: 0, max: 20 }),
        );
        fastCheck.assert(
            fastCheck.property(fastCheck.array(edge, { maxLength: 30 }), edges => {
                const flow = new MaximumFlow(7);
                const numbers = edges.map(([from, to, capacity]) => flow.addEdge(from, to, capacity));
                const total = flow.solve(0, 6);
                const cut = edges.filter(([from, to]) => flow.isOnSourceSide(from) && !flow.isOnSourceSide(to));
                expect(cut.reduce((sum, [, , capacity]) => sum + capacity, 0)).toBeCloseTo(total);
                for (let vertex = 1; vertex < 6; vertex++) {
                    const net = edges.reduce((sum, [from, to], index) => {
                        const amount = flow.flowOn(numbers[index]!);
                        return sum + (to === vertex ? amount : 0) - (from === vertex ? amount : 0);
                    }, 0);
                    expect(net).toBeCloseTo(0);
                }
            }),
            { seed: 6, numRuns: 300 },
        );
    });
});
