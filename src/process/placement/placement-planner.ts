/**
 * Plans which backend server holds which layers of which model, and its role. A plan that keeps the current holdings is
 * preferred unless a plan built from scratch is clearly more efficient or lets more models survive the loss of an
 * availability zone, so that small changes of the input move few weights.
 */
import type { Holding, ServingRole } from "../../domain/backend-server.js";
import { containsRange, layerCount } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { pooledFlow } from "./capacity-flow.js";
import { compareNames } from "./compare-names.js";
import { keepPlanEfficiencyRatio } from "./constants.js";
import { slowestLinkTokensPerSecond } from "./cross-zone-pipelines.js";
import { computeShares, sortAdaptersByDemand } from "./model-shares.js";
import { draftPlacement, type ModelLayout } from "./placement-draft.js";
import { assignRoles } from "./role-assignment.js";
import { runInSlices } from "./time-slices.js";
import type {
    Assignment,
    LayoutServer,
    ModelCapacity,
    ModelShare,
    PlacedRange,
    PlacementInput,
    PlacementPlan,
} from "./types.js";
import { groupByZone } from "./zone-targets.js";

/** Number of servers that are processed between two yields. */
const serversPerStep = 500;

export class PlacementPlanner {
    /** Plans in time slices that let the event loop run. Deterministic: the same input gives the same plan. */
    plan(input: PlacementInput): Promise<PlacementPlan> {
        return runInSlices(planPlacement(input));
    }
}

interface Evaluation {
    readonly layouts: readonly ModelLayout[];
    readonly capacities: readonly ModelCapacity[];
    /** Minimum over all models of the flow relative to the flow that the model's share of the compute allows. */
    readonly efficiency: number;
    /** Number of models that keep a flow after the loss of any one availability zone. */
    readonly zoneTolerantTotal: number;
}

/** Computes the plan; the computation may be suspended at each `yield`. */
export function* planPlacement(input: PlacementInput): Generator<void, PlacementPlan> {
    const shares = computeShares(input);
    const members = yield* listLayoutServers(input);
    yield;
    const kept = yield* evaluate(input, shares, yield* draftPlacement(input, shares, members, true));
    yield;
    if (kept.efficiency >= keepPlanEfficiencyRatio && kept.zoneTolerantTotal === shares.length) {
        return yield* buildPlan(input, shares, kept, "what is loaded carries the demand");
    }
    const rebuilt = yield* evaluate(input, shares, yield* draftPlacement(input, shares, members, false));
    const keepsCurrent = kept.efficiency >= rebuilt.efficiency * keepPlanEfficiencyRatio
        && kept.zoneTolerantTotal >= rebuilt.zoneTolerantTotal;
    return keepsCurrent
        ? yield* buildPlan(input, shares, kept, "a new layout would carry little more")
        : yield* buildPlan(input, shares, rebuilt, describeGain(kept, rebuilt));
}

function describeGain(kept: Evaluation, rebuilt: Evaluation): string {
    const percent = (evaluation: Evaluation) => `${Math.round(evaluation.efficiency * 100)}%`;
    return `a new layout carries ${percent(rebuilt)} of the compute bound, what is loaded ${percent(kept)}; `
        + `${rebuilt.zoneTolerantTotal} models survive an availability zone's loss, before ${kept.zoneTolerantTotal}`;
}

/** Servers that are not draining, with their compute, sorted by zone and ID. Yields periodically. */
function* listLayoutServers(input: PlacementInput): Generator<void, LayoutServer[]> {
    const members: LayoutServer[] = [];
    for (const [index, server] of input.servers.entries()) {
        if (index % serversPerStep === 0) {
            yield;
        }
        if (!server.draining) {
            const { region, availabilityZone, class: serverClass } = server.description;
            const zone = `${region}/${availabilityZone}`;
            members.push({ server, capacity: serverClass.layerTokensPerSecond, zone });
        }
    }
    const sorted: LayoutServer[] = [];
    for (const zone of yield* groupByZone(members)) {
        yield;
        zone.members.sort((left, right) => compareNames(left.server.description.id, right.server.description.id));
        sorted.push(...zone.members);
    }
    return sorted;
}

/** Layer tokens per second of all servers that are not draining. */
function fleetCapacity(input: PlacementInput): number {
    return input.servers.reduce(
        (sum, server) => sum + (server.draining ? 0 : server.description.class.layerTokensPerSecond),
        0,
    );
}

function* evaluate(
    input: PlacementInput,
    shares: readonly ModelShare[],
    layouts: readonly ModelLayout[],
): Generator<void, Evaluation> {
    const fleet = fleetCapacity(input);
    const capacities: ModelCapacity[] = [];
    let efficiency = shares.length === 0 ? 1 : Number.POSITIVE_INFINITY;
    for (const share of shares) {
        const flows: number[] = [];
        let crossZoneFlow = 0;
        for (const layout of layouts.filter(other => other.share === share)) {
            const flow = yield* layoutFlow(layout, input);
            if (layout.zone === undefined) {
                crossZoneFlow += flow;
            }
            else {
                flows.push(flow);
            }
            yield;
        }
        const zoneFlow = flows.reduce((sum, flow) => sum + flow, 0);
        const tokensPerSecond = zoneFlow + crossZoneFlow;
        efficiency = Math.min(efficiency, (tokensPerSecond * share.model.layerTotal) / (share.share * fleet || 1));
        capacities.push({
            model: share.model.name,
            tokensPerSecond,
            demandTokensPerSecond: share.demandTokensPerSecond,
            // A cross-zone pipeline is counted as lost with any zone.
            worstZoneLossTokensPerSecond: zoneFlow - Math.max(0, ...flows),
        });
    }
    const tolerantTotal = capacities.filter(capacity => capacity.worstZoneLossTokensPerSecond > 0).length;
    return { layouts, capacities, efficiency, zoneTolerantTotal: tolerantTotal };
}

function* layoutFlow(layout: ModelLayout, input: PlacementInput): Generator<void, number> {
    const { model } = layout.share;
    const flow = yield* pooledFlow(
        model.layerTotal,
        layout.ranges.map(({ member, layers }) => ({ layers, capacity: member.capacity })),
    );
    return layout.zone === undefined
        ? Math.min(flow, slowestLinkTokensPerSecond(layout.ranges, model.activationBytes, input.topology))
        : flow;
}

function* buildPlan(
    input: PlacementInput,
    shares: readonly ModelShare[],
    evaluation: Evaluation,
    reason: string,
): Generator<void, PlacementPlan> {
    const assignments = new Map<string, Assignment>();
    for (const layout of evaluation.layouts) {
        yield;
        const { model } = layout.share;
        const adapters = sortAdaptersByDemand(model, input.demand);
        const roles = assignRoles(layout, input.prefillShares?.get(model.name));
        for (const range of layout.ranges) {
            assignments.set(range.member.server.description.id, toAssignment(range, model, adapters, roles));
        }
    }
    return {
        configurationVersion: input.configurationVersion,
        assignments,
        capacities: evaluation.capacities,
        ...demandMultiples(input, shares, evaluation.capacities),
        movedBytes: yield* countMovedBytes(input, assignments),
        unplaced: evaluation.capacities.filter(item => item.tokensPerSecond === 0).map(item => item.model),
        reason,
    };
}

function toAssignment(
    range: PlacedRange,
    model: ModelDescription,
    adapters: readonly string[],
    roles: ReadonlyMap<string, ServingRole>,
): Assignment {
    return {
        backendServer: range.member.server.description.id,
        model: model.name,
        modelVersion: model.version,
        layers: range.layers,
        adapters,
        role: roles.get(range.pipeline)!,
        pipeline: range.pipeline,
    };
}

function demandMultiples(
    input: PlacementInput,
    shares: readonly ModelShare[],
    capacities: readonly ModelCapacity[],
): { demandMultiple: number; boundDemandMultiple: number; } {
    const fleet = fleetCapacity(input);
    const work = shares.reduce((sum, share) => sum + share.demandTokensPerSecond * share.model.layerTotal, 0);
    const withDemand = capacities.filter(capacity => capacity.demandTokensPerSecond > 0);
    return {
        demandMultiple: Math.min(...withDemand.map(item => item.tokensPerSecond / item.demandTokensPerSecond)),
        boundDemandMultiple: fleet / work,
    };
}

/** Whether the holding contains the assigned model version and layers, so that no load is needed. */
export function satisfies(holding: Holding, assignment: Assignment): boolean {
    return holding.model === assignment.model && holding.modelVersion === assignment.modelVersion
        && containsRange(holding.layers, assignment.layers);
}

function* countMovedBytes(
    input: PlacementInput,
    assignments: ReadonlyMap<string, Assignment>,
): Generator<void, number> {
    let bytes = 0;
    for (const [index, server] of input.servers.entries()) {
        if (index % serversPerStep === 0) {
            yield;
        }
        const assignment = assignments.get(server.description.id);
        if (assignment !== undefined && !server.holdings.some(holding => satisfies(holding, assignment))) {
            bytes += layerCount(assignment.layers) * input.models.get(assignment.model)!.layerBytes;
        }
    }
    return bytes;
}
