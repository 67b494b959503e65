/**
 * Processor time of an estimate of a request's cost and of learning from its end, with 300 customers on 30 routes. Bound:
 * 20 microseconds each, the operators' limit.
 */
import { LearnedRequestCosts } from "../src/process/request-costs/learned-request-costs.js";
import type { StreamCostQuery } from "../src/process/request-costs/types.js";
import { simulatedEngineProfile } from "../src/stand-ins/engine-fleet/sample-fleets.js";
import { atMost, type Benchmark, type Figure } from "./figures.js";

const customers = 300;
const routes = 30;
const operations = 100_000;
const boundMicroseconds = 20;

function createQueries(): readonly StreamCostQuery[] {
    return Array.from({ length: customers * routes }, (_unused, index) => ({
        service: "pool",
        route: `route-${index % routes}`,
        customer: `customer-${index % customers}`,
        engine: simulatedEngineProfile,
        lengthHint: 100 + index % 200,
        maximumOutputTokens: undefined,
    }));
}

/** Mean processor time in microseconds. */
function measure(name: string, operation: (query: StreamCostQuery, index: number) => void): Figure {
    const queries = createQueries();
    queries.forEach(operation);
    const before = process.cpuUsage();
    for (let index = 0; index < operations; index++) {
        operation(queries[index % queries.length]!, index);
    }
    const { user, system } = process.cpuUsage(before);
    return {
        bench: "request-cost",
        figure: name,
        value: (user + system) / operations,
        unit: "us",
        bound: atMost(boundMicroseconds),
    };
}

export const benchmark: Benchmark = {
    name: "request-cost",
    run(): Promise<readonly Figure[]> {
        const costs = new LearnedRequestCosts();
        return Promise.resolve([
            measure("learning from a completed stream", (query, index) => costs.recordOutput(query, 1 + index % 500)),
            measure("an estimate before a stream", query => costs.estimateOutput(query)),
            measure(
                "an estimate at an event",
                (query, index) => costs.estimateOutput(query).expectedAfter(index % 500),
            ),
            measure("a choice's estimate for one plain server", (query, index) => {
                costs.usualRunMilliseconds(query.service, `server-${index % 10}`);
            }),
        ]);
    },
};
