/**
 * Plans which backend server holds which layers of which model, and in which role. The plan that keeps what is loaded
 * is taken unless a plan made afresh carries clearly more or survives more, so that little moves when little changes.
 */
import type { Holding, ServingRole } from "../../domain/backend-server.js";
import { containsRange, layerCount } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { pooledFlow } from "./capacity-flow.js";
import { keepPlanShare } from "./constants.js";
import { adapterOrder, computeShares } from "./model-shares.js";
import { compareNames } from "./ordering.js";
import { draftPlacement, type PlacedBucket } from "./placement-draft.js";
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
import { linkLimit } from "./wide-pipelines.js";
import { groupByZone } from "./zone-targets.js";

/** Servers that are counted between two points at which other work may run. */
const serversPerStep = 500;

export class PlacementPlanner {
    /** Plans in slices that let the event loop run; gives the same plan for the same input. */
    plan(input: PlacementInput): Promise<PlacementPlan> {
        return runInSlices(planPlacement(input));
    }
}

interface Evaluation {
    readonly buckets: readonly PlacedBucket[];
    readonly capacities: readonly ModelCapacity[];
    /** The least of the models' flows, each as a share of what its share of the fleet could carry. */
    readonly efficiency: number;
    /** Models that stay whole through the loss of any one availability zone. */
    readonly survivors: number;
}

/** The plan as a computation that can be interrupted at each `yield`. */
export function* planPlacement(input: PlacementInput): Generator<void, PlacementPlan> {
    const shares = computeShares(input);
    const members = yield* layoutMembers(input);
    yield;
    const kept = yield* evaluate(input, shares, yield* draftPlacement(input, shares, members, true));
    yield;
    if (kept.efficiency >= keepPlanShare && kept.survivors === shares.length) {
        return yield* buildPlan(input, shares, kept, "what is loaded carries the demand");
    }
    const fresh = yield* evaluate(input, shares, yield* draftPlacement(input, shares, members, false));
    const keepsUp = kept.efficiency >= fresh.efficiency * keepPlanShare && kept.survivors >= fresh.survivors;
    return keepsUp
        ? yield* buildPlan(input, shares, kept, "a new layout would carry little more")
        : yield* buildPlan(input, shares, fresh, describeGain(kept, fresh));
}

function describeGain(kept: Evaluation, fresh: Evaluation): string {
    const percent = (evaluation: Evaluation) => `${Math.round(evaluation.efficiency * 100)}%`;
    return `a new layout carries ${percent(fresh)} of the compute bound, what is loaded ${percent(kept)}; `
        + `${fresh.survivors} models survive an availability zone's loss, before ${kept.survivors}`;
}

/** Live servers with their compute, in a fixed order. Yields between availability zones. */
function* layoutMembers(input: PlacementInput): Generator<void, LayoutServer[]> {
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

/** Layer tokens a second of all live servers. */
function fleetCapacity(input: PlacementInput): number {
    return input.servers.reduce(
        (sum, server) => sum + (server.draining ? 0 : server.description.class.layerTokensPerSecond),
        0,
    );
}

function* evaluate(
    input: PlacementInput,
    shares: readonly ModelShare[],
    buckets: readonly PlacedBucket[],
): Generator<void, Evaluation> {
    const fleet = fleetCapacity(input);
    const capacities: ModelCapacity[] = [];
    let efficiency = shares.length === 0 ? 1 : Number.POSITIVE_INFINITY;
    for (const share of shares) {
        const flows: number[] = [];
        let wideFlow = 0;
        for (const bucket of buckets.filter(other => other.share === share)) {
            const flow = yield* bucketFlow(bucket, input);
            if (bucket.zone === undefined) {
                wideFlow += flow;
            }
            else {
                flows.push(flow);
            }
            yield;
        }
        const zoneFlow = flows.reduce((sum, flow) => sum + flow, 0);
        const tokensPerSecond = zoneFlow + wideFlow;
        efficiency = Math.min(efficiency, (tokensPerSecond * share.model.layerTotal) / (share.share * fleet || 1));
        capacities.push({
            model: share.model.name,
            tokensPerSecond,
            demandTokensPerSecond: share.demandTokensPerSecond,
            // A pipeline across zones counts as lost with any of them.
            worstZoneLossTokensPerSecond: zoneFlow - Math.max(0, ...flows),
        });
    }
    const survivors = capacities.filter(capacity => capacity.worstZoneLossTokensPerSecond > 0).length;
    return { buckets, capacities, efficiency, survivors };
}

function* bucketFlow(bucket: PlacedBucket, input: PlacementInput): Generator<void, number> {
    const { model } = bucket.share;
    const flow = yield* pooledFlow(
        model.layerTotal,
        bucket.ranges.map(({ member, layers }) => ({ layers, capacity: member.capacity })),
    );
    return bucket.zone === undefined
        ? Math.min(flow, linkLimit(bucket.ranges, model.activationBytes, input.topology))
        : flow;
}

function* buildPlan(
    input: PlacementInput,
    shares: readonly ModelShare[],
    evaluation: Evaluation,
    reason: string,
): Generator<void, PlacementPlan> {
    const assignments = new Map<string, Assignment>();
    for (const bucket of evaluation.buckets) {
        yield;
        const { model } = bucket.share;
        const adapters = adapterOrder(model, input.demand);
        const roles = assignRoles(bucket, input.prefillShares?.get(model.name));
        for (const range of bucket.ranges) {
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
    const asked = capacities.filter(capacity => capacity.demandTokensPerSecond > 0);
    return {
        demandMultiple: Math.min(...asked.map(item => item.tokensPerSecond / item.demandTokensPerSecond)),
        boundDemandMultiple: fleet / work,
    };
}

/** Whether a holding makes a load of the assignment needless. */
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
