import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { createFleetInput, createFleetServer, withHoldings } from "../../../bench/placement-fleet.js";
import { SeededRandom } from "../../../src/common/random.js";
import { layerCount } from "../../../src/domain/layers.js";
import { pooledFlow } from "../../../src/process/placement/capacity-flow.js";
import { weightMemoryShare } from "../../../src/process/placement/constants.js";
import { coversAllLayers } from "../../../src/process/placement/pipeline-chains.js";
import { PlacementPlanner } from "../../../src/process/placement/placement-planner.js";
import type { PlacementInput, PlacementPlan } from "../../../src/process/placement/types.js";

const planner = new PlacementPlanner();
const smallFleet = { regions: 1, zonesPerRegion: 3, servers: 120, models: 4 };

async function planAndApply(input: PlacementInput): Promise<{ plan: PlacementPlan; held: PlacementInput; }> {
    const plan = await planner.plan(input);
    return { plan, held: withHoldings(input, plan.assignments) };
}

function efficiency(plan: PlacementPlan): number {
    return plan.demandMultiple / plan.boundDemandMultiple;
}

function prefillServers(plan: PlacementPlan): string[] {
    return [...plan.assignments.values()]
        .filter(assignment => assignment.role === "prefill")
        .map(assignment => assignment.backendServer)
        .sort();
}

function runToCompletion(layerTotal: number, ranges: Parameters<typeof pooledFlow>[1]): number {
    const work = pooledFlow(layerTotal, ranges);
    let step = work.next();
    while (step.done !== true) {
        step = work.next();
    }
    return step.value;
}

describe("pooledFlow", () => {
    test("divides the work on a layer between ranges that overlap in it", () => {
        const ranges = [
            { layers: { first: 0, last: 2 }, capacity: 100 },
            { layers: { first: 2, last: 4 }, capacity: 100 },
        ];
        expect(runToCompletion(5, ranges)).toBeCloseTo(40);
    });

    test("is limited by the layers with the least compute", () => {
        const ranges = [
            { layers: { first: 0, last: 3 }, capacity: 1000 },
            { layers: { first: 2, last: 3 }, capacity: 500 },
            { layers: { first: 4, last: 4 }, capacity: 30 },
        ];
        expect(runToCompletion(5, ranges)).toBeCloseTo(30);
        expect(runToCompletion(6, ranges)).toBe(0);
    });
});

describe("PlacementPlanner", () => {
    test("fits in memory, uses two zones per model and exceeds 90% of the bound for random fleets", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(
                fastCheck.integer({ min: 1, max: 10_000 }),
                fastCheck.integer({ min: 100, max: 200 }),
                async (seed, servers) => {
                    const input = createFleetInput(new SeededRandom(seed), { ...smallFleet, servers });
                    const plan = await planner.plan(input);
                    for (const server of input.servers) {
                        const assignment = plan.assignments.get(server.description.id);
                        const model = assignment && input.models.get(assignment.model)!;
                        const bytes = model === undefined ? 0 : layerCount(assignment!.layers) * model.layerBytes;
                        expect(bytes).toBeLessThanOrEqual(server.description.class.memoryBytes * weightMemoryShare);
                    }
                    for (const capacity of plan.capacities) {
                        expect(capacity.worstZoneLossTokensPerSecond).toBeGreaterThan(0);
                    }
                    expect(efficiency(plan)).toBeGreaterThan(0.9);
                },
            ),
            { seed: 6, numRuns: 40 },
        );
    });

    test("loads nothing when the input is unchanged or a zone is lost, and still serves every model", async () => {
        const { held } = await planAndApply(createFleetInput(new SeededRandom(1), smallFleet));
        expect((await planner.plan(held)).movedBytes).toBe(0);
        const lost = {
            ...held,
            servers: held.servers.filter(server => server.description.availabilityZone !== "region-0-zone-1"),
        };
        const plan = await planner.plan(lost);
        expect(plan.movedBytes).toBe(0);
        expect(plan.unplaced).toEqual([]);
    });

    test("assigns the model of a lost server to a server that joins, and loads nothing else", async () => {
        const { held } = await planAndApply(createFleetInput(new SeededRandom(2), smallFleet));
        const [first] = held.servers;
        const { region, availabilityZone } = first!.description;
        const joined = createFleetServer(9_000, region, availabilityZone, new SeededRandom(3));
        const plan = await planner.plan({ ...held, servers: [...held.servers.slice(1), joined] });
        const assignment = plan.assignments.get(joined.description.id)!;
        expect(plan.movedBytes).toBe(layerCount(assignment.layers) * held.models.get(assignment.model)!.layerBytes);
        expect(assignment.model).toBe(first!.holdings[0]!.model);
        expect(efficiency(plan)).toBeGreaterThan(0.9);
    });

    test("keeps all layer ranges when a model gets a new version", async () => {
        const { plan: before, held } = await planAndApply(createFleetInput(new SeededRandom(4), smallFleet));
        const models = new Map(held.models);
        models.set("model-0", { ...models.get("model-0")!, version: "2" });
        const plan = await planner.plan({ ...held, models });
        for (const [id, assignment] of plan.assignments) {
            expect(assignment.layers).toEqual(before.assignments.get(id)!.layers);
            expect(assignment.modelVersion).toBe(assignment.model === "model-0" ? "2" : "1");
        }
    });

    test("plans a cross-zone pipeline, with no flow after a zone loss, for a model that fits in no zone", async () => {
        const input = createFleetInput(new SeededRandom(5), { regions: 1, zonesPerRegion: 3, servers: 9, models: 1 });
        const model = { ...input.models.get("model-0")!, layerBytes: 4e9 };
        const { plan } = await planAndApply({ ...input, models: new Map([[model.name, model]]) });
        const ranges = [...plan.assignments.values()].map(assignment => assignment.layers);
        expect(coversAllLayers(ranges, model.layerTotal)).toBe(true);
        expect(plan.capacities[0]!.worstZoneLossTokensPerSecond).toBe(0);
    });

    test("lists models that do not fit in the fleet as unplaced", async () => {
        const input = createFleetInput(new SeededRandom(6), { regions: 1, zonesPerRegion: 3, servers: 6, models: 1 });
        const model = { ...input.models.get("model-0")!, layerBytes: 2e10 };
        const plan = await planner.plan({ ...input, models: new Map([[model.name, model]]) });
        expect(plan.unplaced).toEqual(["model-0"]);
    });

    test("divides pipelines into prefill and decode by the prefill share, and keeps their roles", async () => {
        const input = {
            ...createFleetInput(new SeededRandom(7), { ...smallFleet, servers: 300, models: 1 }),
            prefillShares: new Map([["model-0", 0.25]]),
        };
        const { plan, held } = await planAndApply(input);
        const prefill = prefillServers(plan);
        expect(prefill.length / plan.assignments.size).toBeGreaterThan(0.15);
        expect(prefill.length / plan.assignments.size).toBeLessThan(0.35);
        const servers = held.servers.map(server => ({
            ...server,
            role: plan.assignments.get(server.description.id)?.role ?? server.role,
        }));
        const again = await planner.plan({ ...held, servers });
        expect(prefillServers(again)).toEqual(prefill);
    });
});
