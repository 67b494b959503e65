import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { createFleetInput, fleetServer, withHoldings } from "../../../bench/placement-fleet.js";
import { SeededRandom } from "../../../src/common/random.js";
import { layerCount } from "../../../src/domain/layers.js";
import { pooledFlow } from "../../../src/process/placement/capacity-flow.js";
import { weightMemoryShare } from "../../../src/process/placement/constants.js";
import { coversAllLayers } from "../../../src/process/placement/pipeline-chains.js";
import { PlacementPlanner } from "../../../src/process/placement/placement-planner.js";
import type { PlacementInput, PlacementPlan } from "../../../src/process/placement/types.js";

const planner = new PlacementPlanner();
const smallSite = { regions: 1, zonesPerRegion: 3, servers: 120, models: 4 };

async function placed(input: PlacementInput): Promise<{ plan: PlacementPlan; held: PlacementInput; }> {
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

function valueOf(layerTotal: number, ranges: Parameters<typeof pooledFlow>[1]): number {
    const work = pooledFlow(layerTotal, ranges);
    let step = work.next();
    while (step.done !== true) {
        step = work.next();
    }
    return step.value;
}

describe("pooledFlow", () => {
    test("lets overlapping ranges share the layers between them", () => {
        const ranges = [
            { layers: { first: 0, last: 2 }, capacity: 100 },
            { layers: { first: 2, last: 4 }, capacity: 100 },
        ];
        expect(valueOf(5, ranges)).toBeCloseTo(40);
    });

    test("is limited by the scarcest layers", () => {
        const ranges = [
            { layers: { first: 0, last: 3 }, capacity: 1000 },
            { layers: { first: 2, last: 3 }, capacity: 500 },
            { layers: { first: 4, last: 4 }, capacity: 30 },
        ];
        expect(valueOf(5, ranges)).toBeCloseTo(30);
        expect(valueOf(6, ranges)).toBe(0);
    });
});

describe("PlacementPlanner", () => {
    test("fits memory, covers every model in two zones and comes close to the bound, for any mix", async () => {
        await fastCheck.assert(
            fastCheck.asyncProperty(
                fastCheck.integer({ min: 1, max: 10_000 }),
                fastCheck.integer({ min: 100, max: 200 }),
                async (seed, servers) => {
                    const input = createFleetInput(new SeededRandom(seed), { ...smallSite, servers });
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

    test("moves nothing when nothing changes, and keeps the rest when a zone is lost", async () => {
        const { held } = await placed(createFleetInput(new SeededRandom(1), smallSite));
        expect((await planner.plan(held)).movedBytes).toBe(0);
        const lost = {
            ...held,
            servers: held.servers.filter(server => server.description.availabilityZone !== "region-0-zone-1"),
        };
        const plan = await planner.plan(lost);
        expect(plan.movedBytes).toBe(0);
        expect(plan.unplaced).toEqual([]);
    });

    test("fills the gap that a lost server leaves with the one that joins", async () => {
        const { held } = await placed(createFleetInput(new SeededRandom(2), smallSite));
        const [first] = held.servers;
        const { region, availabilityZone } = first!.description;
        const joined = fleetServer(9_000, region, availabilityZone, new SeededRandom(3));
        const plan = await planner.plan({ ...held, servers: [...held.servers.slice(1), joined] });
        const assignment = plan.assignments.get(joined.description.id)!;
        expect(plan.movedBytes).toBe(layerCount(assignment.layers) * held.models.get(assignment.model)!.layerBytes);
        expect(assignment.model).toBe(first!.holdings[0]!.model);
        expect(efficiency(plan)).toBeGreaterThan(0.9);
    });

    test("keeps every range when a model gets a new version", async () => {
        const { plan: before, held } = await placed(createFleetInput(new SeededRandom(4), smallSite));
        const models = new Map(held.models);
        models.set("model-0", { ...models.get("model-0")!, version: "2" });
        const plan = await planner.plan({ ...held, models });
        for (const [id, assignment] of plan.assignments) {
            expect(assignment.layers).toEqual(before.assignments.get(id)!.layers);
            expect(assignment.modelVersion).toBe(assignment.model === "model-0" ? "2" : "1");
        }
    });

    test("chains servers across zones for a model that no zone can hold, and says that it survives no loss", async () => {
        const input = createFleetInput(new SeededRandom(5), { regions: 1, zonesPerRegion: 3, servers: 9, models: 1 });
        const model = { ...input.models.get("model-0")!, layerBytes: 4e9 };
        const { plan } = await placed({ ...input, models: new Map([[model.name, model]]) });
        const ranges = [...plan.assignments.values()].map(assignment => assignment.layers);
        expect(coversAllLayers(ranges, model.layerTotal)).toBe(true);
        expect(plan.capacities[0]!.worstZoneLossTokensPerSecond).toBe(0);
    });

    test("names the models that do not fit at all", async () => {
        const input = createFleetInput(new SeededRandom(6), { regions: 1, zonesPerRegion: 3, servers: 6, models: 1 });
        const model = { ...input.models.get("model-0")!, layerBytes: 2e10 };
        const plan = await planner.plan({ ...input, models: new Map([[model.name, model]]) });
        expect(plan.unplaced).toEqual(["model-0"]);
    });

    test("splits roles by pipelines where it is asked to, and keeps them", async () => {
        const input = {
            ...createFleetInput(new SeededRandom(7), { ...smallSite, servers: 300, models: 1 }),
            prefillShares: new Map([["model-0", 0.25]]),
        };
        const { plan, held } = await placed(input);
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
