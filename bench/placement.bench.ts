/**
 * Placement: planning time and its slope, the flow of a plan beside the compute bound and an equal layer split, the
 * time until capacity is back after an availability zone's loss, and the time in which the lease is taken over.
 */
// The paused clock must be loaded before all that reads the clock.
import { pausedClock } from "./paused-clock.js";

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
import { PlacementSimulation } from "./placement-world.js";

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

/** The wall clock, which the paused clock leaves alone. */
function wallMilliseconds(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}

/**
 * Time that the main thread has spent on a processor, garbage collection on it included. Waits for a processor that
 * other processes use are left out: they are no work of the planner's.
 */
function threadMilliseconds(): number {
    const [onProcessorNanoseconds] = readFileSync(`/proc/self/task/${process.pid}/schedstat`, "utf8").split(" ");
    return Number(onProcessorNanoseconds) / 1e6;
}

/** Cuts computations into slices by the holder's rule, and times them. */
class SliceTimer {
    totalMilliseconds = 0;
    longestMilliseconds = 0;
    /** The same on the wall clock, with what other processes take. */
    longestWallMilliseconds = 0;

    run<Result>(work: Generator<void, Result>): Result {
        const startedAt = wallMilliseconds();
        let wallStart = startedAt;
        let threadStart = threadMilliseconds();
        const endSlice = () => {
            this.longestMilliseconds = Math.max(this.longestMilliseconds, threadMilliseconds() - threadStart);
            this.longestWallMilliseconds = Math.max(this.longestWallMilliseconds, wallMilliseconds() - wallStart);
            wallStart = wallMilliseconds();
            threadStart = threadMilliseconds();
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

/** Runs a computation to its end without timing it. */
function complete<Result>(work: Generator<void, Result>): Result {
    let step = work.next();
    while (step.done !== true) {
        step = work.next();
    }
    return step.value;
}

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Plans and works out the orders, as the holder does. */
function planTimed(input: PlacementInput): { readonly plan: PlacementPlan; readonly timer: SliceTimer; } {
    // What a router knows of its fleet is long-lived; an input that was made just now would be moved while planning.
    collectGarbage();
    const timer = new SliceTimer();
    const plan = timer.run(planPlacement(input));
    timer.run(planTransition(input.servers, plan.assignments, input.models));
    return { plan, timer };
}

/** Planning of an empty fleet, of the same fleet once loaded, and with a shifted demand. */
function measurePlanning(): Figure[] {
    planTimed(createFleetInput(new SeededRandom(9), fleetSize(40)));
    const points: { x: number; y: number; }[] = [];
    const timers: SliceTimer[] = [];
    for (const replicas of replicaCounts) {
        const times = seeds.flatMap(seed => {
            const input = createFleetInput(new SeededRandom(seed), fleetSize(replicas));
            const first = planTimed(input);
            const held = withHoldings(input, first.plan.assignments);
            const demand = held.demand.map((item, index) =>
                index % 5 === 0 ? { ...item, tokensPerSecond: item.tokensPerSecond * 3 } : item
            );
            const others = [planTimed(held), planTimed({ ...held, demand })];
            const plans = [first, ...others];
            timers.push(...plans.map(each => each.timer));
            return plans.map(each => each.timer.totalMilliseconds);
        });
        points.push({ x: replicas, y: Math.max(...times) });
    }
    return [
        figure("planning time at 40 replicas", points[0]!.y, "ms"),
        {
            ...figure("planning time at 600 replicas", points.at(-1)!.y, "ms"),
            bound: atMost(maximumPlanningMilliseconds),
        },
        figure("planning time for each further replica", fitLine(points).slope, "ms"),
        {
            ...figure(
                "longest slice, on the processor",
                Math.max(...timers.map(each => each.longestMilliseconds)),
                "ms",
            ),
            bound: atMost(maximumSliceMilliseconds),
        },
        figure(
            "longest slice on the wall clock, median over plans",
            quantile(timers.map(each => each.longestWallMilliseconds), 0.5),
            "ms",
        ),
        figure(
            "longest slice on the wall clock, worst plan",
            Math.max(...timers.map(each => each.longestWallMilliseconds)),
            "ms",
        ),
    ];
}

function figure(title: string, value: number, unit: string): Figure {
    return { bench: name, figure: title, value, unit };
}

function zoneOf(server: PlacementServer): string {
    return server.description.availabilityZone;
}

/** The largest multiple of the demand that ranges carry, with pooling inside each availability zone. */
function pooledMultiple(
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
            return sum + complete(pooledFlow(model.layerTotal, ranges));
        }, 0);
        return flow / demand;
    }));
}

function demandOf(input: PlacementInput, model: ModelDescription): number {
    return input.demand.reduce((sum, item) => sum + (item.model === model.name ? item.tokensPerSecond : 0), 0);
}

/**
 * The baseline: servers go to models by share of compute in the order of their IDs, and every pipeline splits the
 * layers equally over as few servers as the smallest of them allows.
 */
function equalSplitMultiple(input: PlacementInput): number {
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
    return pooledMultiple(input, held);
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

/** The flow by the router's own linear program over the whole graph, links between zones included. */
function linearProgramMultiple(input: PlacementInput, plan: PlacementPlan): number {
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
            const { plan } = planTimed(input);
            const bound = plan.boundDemandMultiple;
            return { planned: plan.demandMultiple / bound, equal: equalSplitMultiple(input) / bound };
        });
        return {
            ...figure(
                `flow of the plan at ${replicas} replicas`,
                Math.min(...shares.map(each => each.planned)),
                "of the bound",
            ),
            bound: atLeast(minimumFlowShare),
            baseline: Math.max(...shares.map(each => each.equal)),
        };
    });
}

/** The same flow, by a program that shares no code with the planner. */
function measureFlowIndependently(): Figure[] {
    const input = createFleetInput(new SeededRandom(1), { regions: 1, zonesPerRegion: 3, servers: 96, models: 3 });
    const { plan } = planTimed(input);
    const share = linearProgramMultiple(input, plan) / plan.boundDemandMultiple;
    return [{
        ...figure("flow of a plan of 96 servers by linear program", share, "of the bound"),
        bound: atLeast(minimumFlowShare),
        baseline: plan.demandMultiple / plan.boundDemandMultiple,
    }];
}

const recoveryLayerBytes = 5e8;
const recoveryStoreBytesPerSecond = 1e10;
const recoveryTickMilliseconds = 50;
const recoveredShare = 0.999;

/** Loses a zone of a loaded fleet of 40 replicas; its servers come back empty 60 s later. */
async function measureRecovery(): Promise<Figure[]> {
    const empty = createFleetInput(new SeededRandom(1), { ...fleetSize(40), models: 3 });
    const models = new Map([...empty.models.values()].map(model => [
        model.name,
        { ...model, layerBytes: recoveryLayerBytes },
    ]));
    const input = { ...empty, models };
    const { plan } = planTimed(input);
    const loaded = withHoldings(input, plan.assignments);
    const world = new PlacementSimulation({
        servers: [],
        models: [...models.values()],
        demand: input.demand,
        storeBytesPerSecond: recoveryStoreBytesPerSecond,
        layerBytes: recoveryLayerBytes,
    });
    loaded.servers.forEach(server => world.addServer(server.description, server.holdings));
    const router = world.addRouter("router-0");
    await router.holder.start();
    await pausedClock.tickAsync(10_000);
    const before = worldMultiple(world, input);
    const lost = loaded.servers.filter(server => zoneOf(server).endsWith("zone-1"));
    const lostBytes = lost.reduce((sum, server) => sum + heldBytes(server), 0);
    lost.forEach(server => world.kill(server.description.id));
    await pausedClock.tickAsync(60_000);
    const between = worldMultiple(world, input);
    lost.forEach(server => world.restart(server.description));
    const startedAt = monotonicNow();
    while (worldMultiple(world, input) < before * recoveredShare) {
        await pausedClock.tickAsync(recoveryTickMilliseconds);
    }
    const spent = monotonicNow() - startedAt;
    const least = (lostBytes * 1000) / recoveryStoreBytesPerSecond;
    await stopRouters(world);
    return [
        figure("flow while an availability zone of three is gone", between / before, "of the flow before"),
        figure("time until capacity is back after the zone's loss", spent, "ms"),
        {
            ...figure("the same, beside what the weight store allows", spent / least, "times"),
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

function worldMultiple(world: PlacementSimulation, input: PlacementInput): number {
    const held = world.usableHoldings().map(({ server, holding }) => ({
        server: { description: server, holdings: [], role: "mixed" as const, draining: false },
        model: holding.model,
        layers: holding.layers,
    }));
    return pooledMultiple(input, held);
}

async function stopRouters(world: PlacementSimulation): Promise<void> {
    const stopped = Promise.all(world.routers.map(router => router.holder.stop()));
    await pausedClock.tickAsync(60_000);
    await stopped;
}

const takeOvers = 20;
const takeOverTickMilliseconds = 10;

/** Time from the moment at which a holder is cut off, or stops, until another router holds the lease. */
async function measureTakeOver(): Promise<Figure[]> {
    const crashes: number[] = [];
    const stops: number[] = [];
    for (let index = 0; index < takeOvers; index++) {
        crashes.push(
            await takeOverAfter(index, async world => {
                holderOf(world)!.access.faults.availability = Availability.hanging;
            }),
        );
        stops.push(await takeOverAfter(index, async world => void holderOf(world)!.holder.stop()));
    }
    return [
        {
            ...figure("take-over after the holder was cut off, 95 in 100", quantile(crashes, 0.95), "ms"),
            baseline: leaseTimeToLiveMilliseconds,
        },
        figure("take-over after a planned stop, 95 in 100", quantile(stops, 0.95), "ms"),
    ];
}

function holderOf(world: PlacementSimulation) {
    return world.routers.find(router => router.lease.isHeld);
}

async function takeOverAfter(index: number, end: (world: PlacementSimulation) => Promise<void>): Promise<number> {
    const input = createFleetInput(new SeededRandom(index), { regions: 1, zonesPerRegion: 3, servers: 12, models: 1 });
    const world = new PlacementSimulation({
        servers: input.servers.map(server => server.description),
        models: [...input.models.values()],
        demand: input.demand,
        storeBytesPerSecond: recoveryStoreBytesPerSecond,
        layerBytes: recoveryLayerBytes,
    });
    for (let router = 0; router < 13; router++) {
        await world.addRouter(`router-${router}`).holder.start();
    }
    await pausedClock.tickAsync(5_000 + index * 130);
    const first = holderOf(world);
    await end(world);
    const startedAt = monotonicNow();
    while (holderOf(world) === undefined || holderOf(world) === first) {
        await pausedClock.tickAsync(takeOverTickMilliseconds);
    }
    const spent = monotonicNow() - startedAt;
    await stopRouters(world);
    return spent;
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
