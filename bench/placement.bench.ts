/**
 * Placement: the planning time and its growth with the number of replicas; the flow of a plan relative to the compute
 * bound, with an equal split of layers as the baseline; the time until capacity is restored after the loss of an
 * availability zone; and the time until another router takes over the placement lease.
 */
// The fake clock must be installed before any module that captures timer functions is loaded.
import { fakeClock } from "./fake-clock.js";

import { readFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicNow } from "../src/common/clock.js";
import { SeededRandom } from "../src/common/random.js";
import type { LayerRange } from "../src/domain/layers.js";
import type { ModelDescription } from "../src/domain/model.js";
import { pooledFlow } from "../src/process/placement/capacity-flow.js";
import {
    leaseTimeToLiveMilliseconds,
    planningSliceMilliseconds,
    weightMemoryShare,
} from "../src/process/placement/constants.js";
import { planPlacement } from "../src/process/placement/placement-planner.js";
import { planTransition } from "../src/process/placement/transition.js";
import type { PlacementInput, PlacementPlan, PlacementServer } from "../src/process/placement/types.js";
import { Availability } from "../src/stand-ins/platform/faults.js";
import { PipelineGraph } from "../src/version/pipeline-graph/pipeline-graph.js";
import { atLeast, atMost, type Benchmark, type Figure, fitLine, quantile } from "./figures.js";
import { createFleetInput, type FleetSize, withHoldings } from "./placement-fleet.js";
import { PlacementSimulation } from "./placement-simulation.js";

const name = "placement";
const acceleratorsPerReplica = 8;
const seeds = [1, 2, 3];
const replicaCounts = [40, 200, 400, 600];
const minimumFlowShare = 0.9;
const maximumPlanningMilliseconds = 2_000;
const maximumSliceMilliseconds = 10;
const maximumRecoveryRatio = 1.25;

function fleetSize(replicas: number): FleetSize {
    const servers = replicas * acceleratorsPerReplica;
    return replicas <= 40 ? { regions: 1, zonesPerRegion: 3, servers } : { regions: 2, zonesPerRegion: 4, servers };
}

/** Real elapsed time; the fake clock doesn't replace `process.hrtime`. */
function wallMilliseconds(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}

/**
 * CPU time of the main thread, including garbage collection on that thread. Time spent waiting for a CPU in use by
 * other processes is excluded, as it isn't work of the planner.
 */
function threadCpuMilliseconds(): number {
    const [cpuNanoseconds] = readFileSync(`/proc/self/task/${process.pid}/schedstat`, "utf8").split(" ");
    return Number(cpuNanoseconds) / 1e6;
}

/** Divides computations into slices by the same rule as the placement holder, and times the slices. */
class SliceTimer {
    totalMilliseconds = 0;
    longestCpuMilliseconds = 0;
    /** Longest slice in real time, including time in which other processes used the CPU. */
    longestWallMilliseconds = 0;

    run<Result>(work: Generator<void, Result>): Result {
        const startedAt = wallMilliseconds();
        let wallStart = startedAt;
        let threadStart = threadCpuMilliseconds();
        const endSlice = () => {
            this.longestCpuMilliseconds = Math.max(this.longestCpuMilliseconds, threadCpuMilliseconds() - threadStart);
            this.longestWallMilliseconds = Math.max(this.longestWallMilliseconds, wallMilliseconds() - wallStart);
            wallStart = wallMilliseconds();
            threadStart = threadCpuMilliseconds();
        };
        let step = work.next();
        while (step.done !== true) {
            if (wallMilliseconds() - wallStart >= planningSliceMilliseconds) {
                endSlice();
            }
            step = work.next();
        }
        endSlice();
        this.totalMilliseconds += wallMilliseconds() - startedAt;
        return step.value;
    }
}

function runToCompletion<Result>(work: Generator<void, Result>): Result {
    let step = work.next();
    while (step.done !== true) {
        step = work.next();
    }
    return step.value;
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Computes the plan and the transition to it, as the placement holder does, and times both. */
function planAndTime(input: PlacementInput): { readonly plan: PlacementPlan; readonly timer: SliceTimer; } {
    // A router's data about its fleet is long-lived, in the old generation of the heap. Without this collection, the
    // garbage collector would move the newly created input during planning.
    collectGarbage();
    const timer = new SliceTimer();
    const plan = timer.run(planPlacement(input));
    timer.run(planTransition(input.servers, plan.assignments, input.models));
    return { plan, timer };
}

/** Plans a fleet without holdings, the same fleet with its layers loaded, and the loaded fleet with changed demand. */
function measurePlanning(): Figure[] {
    planAndTime(createFleetInput(new SeededRandom(9), fleetSize(40)));
    const points: { x: number; y: number; }[] = [];
    const timers: SliceTimer[] = [];
    for (const replicas of replicaCounts) {
        const times = seeds.flatMap(seed => {
            const input = createFleetInput(new SeededRandom(seed), fleetSize(replicas));
            const first = planAndTime(input);
            const held = withHoldings(input, first.plan.assignments);
            const demand = held.demand.map((item, index) =>
                index % 5 === 0 ? { ...item, tokensPerSecond: item.tokensPerSecond * 3 } : item
            );
            const others = [planAndTime(held), planAndTime({ ...held, demand })];
            const plans = [first, ...others];
            timers.push(...plans.map(each => each.timer));
            return plans.map(each => each.timer.totalMilliseconds);
        });
        points.push({ x: replicas, y: Math.max(...times) });
    }
    return [
        createFigure("planning time at 40 replicas", points[0]!.y, "ms"),
        {
            ...createFigure("planning time at 600 replicas", points.at(-1)!.y, "ms"),
            bound: atMost(maximumPlanningMilliseconds),
        },
        createFigure("planning time for each further replica", fitLine(points).slope, "ms"),
        {
            ...createFigure(
                "longest slice, on the processor",
                Math.max(...timers.map(each => each.longestCpuMilliseconds)),
                "ms",
            ),
            bound: atMost(maximumSliceMilliseconds),
        },
        createFigure(
            "longest slice on the wall clock, median over plans",
            quantile(timers.map(each => each.longestWallMilliseconds), 0.5),
            "ms",
        ),
        createFigure(
            "longest slice on the wall clock, worst plan",
            Math.max(...timers.map(each => each.longestWallMilliseconds)),
            "ms",
        ),
    ];
}

function createFigure(title: string, value: number, unit: string): Figure {
    return { bench: name, figure: title, value, unit };
}

function zoneOf(server: PlacementServer): string {
    return server.description.availabilityZone;
}

/**
 * The largest multiple of the demand that the held ranges can serve, with pipelines inside one availability zone only.
 */
function pooledDemandMultiple(
    input: PlacementInput,
    held: readonly { readonly server: PlacementServer; readonly model: string; readonly layers: LayerRange; }[],
): number {
    const zones = [...new Set(input.servers.map(zoneOf))];
    return Math.min(...[...input.models.values()].map(model => {
        const demand = demandOf(input, model);
        const flow = zones.reduce((sum, zone) => {
            const ranges = held
                .filter(range => range.model === model.name && zoneOf(range.server) === zone)
                .map(({ server, layers }) => ({ layers, capacity: server.description.class.layerTokensPerSecond }));
            return sum + runToCompletion(pooledFlow(model.layerTotal, ranges));
        }, 0);
        return flow / demand;
    }));
}

function demandOf(input: PlacementInput, model: ModelDescription): number {
    return input.demand.reduce((sum, item) => sum + (item.model === model.name ? item.tokensPerSecond : 0), 0);
}

/**
 * The baseline: servers are assigned to models in the order of their IDs, in proportion to the compute that each model
 * needs. Every pipeline splits the layers equally over the fewest servers that the smallest memory among them allows.
 */
function equalSplitDemandMultiple(input: PlacementInput): number {
    const work = [...input.models.values()].map(model => demandOf(input, model) * model.layerTotal);
    const total = work.reduce((sum, value) => sum + value, 0);
    const held = [...new Set(input.servers.map(zoneOf))].flatMap(zone => {
        const servers = input.servers.filter(server => zoneOf(server) === zone);
        let next = 0;
        return [...input.models.values()].flatMap((model, index) => {
            const count = Math.round((servers.length * work[index]!) / total);
            const chosen = servers.slice(next, next + count);
            next += count;
            return splitEqually(chosen, model);
        });
    });
    return pooledDemandMultiple(input, held);
}

function splitEqually(servers: readonly PlacementServer[], model: ModelDescription) {
    const memory = Math.min(...servers.map(server => server.description.class.memoryBytes)) * weightMemoryShare;
    const stages = Math.ceil(model.layerTotal / Math.floor(memory / model.layerBytes));
    const pipelines = Math.floor(servers.length / stages);
    return servers.slice(0, pipelines * stages).map((server, index) => {
        const stage = index % stages;
        const first = Math.floor((stage * model.layerTotal) / stages);
        const last = Math.floor(((stage + 1) * model.layerTotal) / stages) - 1;
        return { server, model: model.name, layers: { first, last } };
    });
}

/**
 * The same multiple as `pooledDemandMultiple`, but computed by the linear program of the router's pipeline graph, which
 * includes links between zones.
 */
function linearProgramDemandMultiple(input: PlacementInput, plan: PlacementPlan): number {
    return Math.min(...[...input.models.values()].map(model => {
        const servers = input.servers.flatMap(({ description }) => {
            const assignment = plan.assignments.get(description.id);
            return assignment?.model !== model.name ? [] : [{
                id: description.id,
                address: description.address,
                location: description,
                layers: assignment.layers,
                adapters: [],
                role: assignment.role,
                layerTokensPerSecond: description.class.layerTokensPerSecond,
            }];
        });
        return new PipelineGraph(model, input.topology, servers).bound.tokensPerSecond / demandOf(input, model);
    }));
}

function measureFlow(): Figure[] {
    return [40, 600].map(replicas => {
        const shares = seeds.map(seed => {
            const input = createFleetInput(new SeededRandom(seed), fleetSize(replicas));
            const { plan } = planAndTime(input);
            const bound = plan.boundDemandMultiple;
            return { planned: plan.demandMultiple / bound, equalSplit: equalSplitDemandMultiple(input) / bound };
        });
        return {
            ...createFigure(
                `flow of the plan at ${replicas} replicas`,
                Math.min(...shares.map(each => each.planned)),
                "of the bound",
            ),
            bound: atLeast(minimumFlowShare),
            baseline: Math.max(...shares.map(each => each.equalSplit)),
        };
    });
}

/** Checks the flow of a plan with the linear program, which shares no code with the planner. */
function measureFlowIndependently(): Figure[] {
    const input = createFleetInput(new SeededRandom(1), { regions: 1, zonesPerRegion: 3, servers: 96, models: 3 });
    const { plan } = planAndTime(input);
    const share = linearProgramDemandMultiple(input, plan) / plan.boundDemandMultiple;
    return [{
        ...createFigure("flow of a plan of 96 servers by linear program", share, "of the bound"),
        bound: atLeast(minimumFlowShare),
        baseline: plan.demandMultiple / plan.boundDemandMultiple,
    }];
}

const recoveryLayerBytes = 5e8;
const recoveryStoreBytesPerSecond = 1e10;
const recoveryTickMilliseconds = 50;
const recoveredShare = 0.999;

/** Kills all servers of one zone of a loaded fleet of 40 replicas, and restarts them without holdings 60 s later. */
async function measureRecovery(): Promise<Figure[]> {
    const empty = createFleetInput(new SeededRandom(1), { ...fleetSize(40), models: 3 });
    const models = new Map([...empty.models.values()].map(model => [
        model.name,
        { ...model, layerBytes: recoveryLayerBytes },
    ]));
    const input = { ...empty, models };
    const { plan } = planAndTime(input);
    const loaded = withHoldings(input, plan.assignments);
    const simulation = new PlacementSimulation({
        servers: [],
        models: [...models.values()],
        demand: input.demand,
        storeBytesPerSecond: recoveryStoreBytesPerSecond,
        layerBytes: recoveryLayerBytes,
    });
    loaded.servers.forEach(server => simulation.addServer(server.description, server.holdings));
    const router = simulation.addRouter("router-0");
    await router.holder.start();
    await fakeClock.tickAsync(10_000);
    const demandMultipleBeforeLoss = servableDemandMultiple(simulation, input);
    const lost = loaded.servers.filter(server => zoneOf(server).endsWith("zone-1"));
    const lostBytes = lost.reduce((sum, server) => sum + heldBytes(server), 0);
    lost.forEach(server => simulation.kill(server.description.id));
    await fakeClock.tickAsync(60_000);
    const demandMultipleDuringLoss = servableDemandMultiple(simulation, input);
    lost.forEach(server => simulation.restart(server.description));
    const startedAt = monotonicNow();
    while (servableDemandMultiple(simulation, input) < demandMultipleBeforeLoss * recoveredShare) {
        await fakeClock.tickAsync(recoveryTickMilliseconds);
    }
    const elapsedMilliseconds = monotonicNow() - startedAt;
    const minimumMilliseconds = (lostBytes * 1000) / recoveryStoreBytesPerSecond;
    await stopRouters(simulation);
    return [
        createFigure(
            "flow while an availability zone of three is gone",
            demandMultipleDuringLoss / demandMultipleBeforeLoss,
            "of the flow before",
        ),
        createFigure("time until capacity is back after the zone's loss", elapsedMilliseconds, "ms"),
        {
            ...createFigure(
                "the same, beside what the weight store allows",
                elapsedMilliseconds / minimumMilliseconds,
                "times",
            ),
            bound: atMost(maximumRecoveryRatio),
        },
    ];
}

function heldBytes(server: PlacementServer): number {
    return server.holdings.reduce(
        (sum, { layers }) => sum + (layers.last - layers.first + 1) * recoveryLayerBytes,
        0,
    );
}

function servableDemandMultiple(simulation: PlacementSimulation, input: PlacementInput): number {
    const held = simulation.usableHoldings().map(({ server, holding }) => ({
        server: { description: server, holdings: [], role: "mixed" as const, draining: false },
        model: holding.model,
        layers: holding.layers,
    }));
    return pooledDemandMultiple(input, held);
}

async function stopRouters(simulation: PlacementSimulation): Promise<void> {
    const stopped = Promise.all(simulation.routers.map(router => router.holder.stop()));
    await fakeClock.tickAsync(60_000);
    await stopped;
}

const takeOverTrials = 20;
const takeOverTickMilliseconds = 10;

/** Time until another router holds the lease after its holder was cut off from the platform or stopped. */
async function measureTakeOver(): Promise<Figure[]> {
    const cutOffMilliseconds: number[] = [];
    const plannedStopMilliseconds: number[] = [];
    for (let index = 0; index < takeOverTrials; index++) {
        cutOffMilliseconds.push(
            await measureOneTakeOver(index, async simulation => {
                leaseHolderOf(simulation)!.platformClient.faults.availability = Availability.hanging;
            }),
        );
        plannedStopMilliseconds.push(
            await measureOneTakeOver(index, async simulation => void leaseHolderOf(simulation)!.holder.stop()),
        );
    }
    return [
        {
            ...createFigure(
                "take-over after the holder was cut off, 95 in 100",
                quantile(cutOffMilliseconds, 0.95),
                "ms",
            ),
            baseline: leaseTimeToLiveMilliseconds,
        },
        createFigure("take-over after a planned stop, 95 in 100", quantile(plannedStopMilliseconds, 0.95), "ms"),
    ];
}

function leaseHolderOf(simulation: PlacementSimulation) {
    return simulation.routers.find(router => router.lease.isHeld);
}

async function measureOneTakeOver(
    index: number,
    disableLeaseHolder: (simulation: PlacementSimulation) => Promise<void>,
): Promise<number> {
    const input = createFleetInput(new SeededRandom(index), { regions: 1, zonesPerRegion: 3, servers: 12, models: 1 });
    const simulation = new PlacementSimulation({
        servers: input.servers.map(server => server.description),
        models: [...input.models.values()],
        demand: input.demand,
        storeBytesPerSecond: recoveryStoreBytesPerSecond,
        layerBytes: recoveryLayerBytes,
    });
    for (let router = 0; router < 13; router++) {
        await simulation.addRouter(`router-${router}`).holder.start();
    }
    await fakeClock.tickAsync(5_000 + index * 130);
    const first = leaseHolderOf(simulation);
    await disableLeaseHolder(simulation);
    const startedAt = monotonicNow();
    while (leaseHolderOf(simulation) === undefined || leaseHolderOf(simulation) === first) {
        await fakeClock.tickAsync(takeOverTickMilliseconds);
    }
    const elapsedMilliseconds = monotonicNow() - startedAt;
    await stopRouters(simulation);
    return elapsedMilliseconds;
}

export const benchmark: Benchmark = {
    name,
    run: async () => [
        ...measurePlanning(),
        ...measureFlow(),
        ...measureFlowIndependently(),
        ...await measureRecovery(),
        ...await measureTakeOver(),
    ],
};
