/** The placement as operators see it: the JSON behind `GET /operator/placement`. */
import type { ServingRole } from "../../domain/backend-server.js";
import type { PlacementHolder, PlacementView } from "./placement-holder.js";
import type { HolderRecord } from "./placement-lease.js";
import type { TransitionStep } from "./transition.js";
import type { ModelCapacity } from "./types.js";

/** A range of a model in an operator's answer. */
export interface RangeStatus {
    readonly model: string;
    readonly modelVersion: string;
    readonly firstLayer: number;
    readonly lastLayer: number;
    readonly adapters: readonly string[];
}

export interface ServerPlacementStatus {
    readonly id: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly className: string;
    readonly role: ServingRole;
    readonly draining: boolean;
    readonly holds: readonly RangeStatus[];
    readonly wanted?: RangeStatus & { readonly role: ServingRole; readonly pipeline: string; };
}

export interface PlacementPlanStatus {
    readonly configurationVersion: number;
    readonly reason: string;
    readonly demandMultiple: number;
    readonly boundDemandMultiple: number;
    readonly movedBytes: number;
    readonly capacities: readonly ModelCapacity[];
    readonly unplaced: readonly string[];
    readonly steps: readonly TransitionStep[];
    readonly blocked: readonly string[];
    readonly servers: readonly ServerPlacementStatus[];
}

/** `plan` is there only on the router that holds the lease. */
export interface PlacementStatus {
    readonly holder?: HolderRecord;
    readonly isHolder: boolean;
    /** Milliseconds until backend servers that ignore fencing numbers get orders. */
    readonly settleMilliseconds: number;
    readonly plan?: PlacementPlanStatus;
}

/** Builds the answer of one router. A router that does not hold the lease says who does, if the platform tells. */
export async function buildPlacementStatus(holder: PlacementHolder): Promise<PlacementStatus> {
    const { lease, view } = holder;
    return {
        holder: await lease.readHolder().catch(() => undefined),
        isHolder: lease.isHeld,
        settleMilliseconds: lease.settleMilliseconds,
        plan: view === undefined ? undefined : describeView(view),
    };
}

/** The plan, its orders, and each backend server with what it holds and is to hold. */
export function describeView({ servers, plan, transition }: PlacementView): PlacementPlanStatus {
    return {
        configurationVersion: plan.configurationVersion,
        reason: plan.reason,
        demandMultiple: finite(plan.demandMultiple),
        boundDemandMultiple: finite(plan.boundDemandMultiple),
        movedBytes: plan.movedBytes,
        capacities: plan.capacities,
        unplaced: plan.unplaced,
        steps: transition.steps,
        blocked: transition.blocked,
        servers: servers.map(({ description, holdings, role, draining }) => {
            const wanted = plan.assignments.get(description.id);
            return {
                id: description.id,
                region: description.region,
                availabilityZone: description.availabilityZone,
                className: description.class.name,
                role,
                draining,
                holds: holdings.map(describeRange),
                wanted: wanted && { ...describeRange(wanted), role: wanted.role, pipeline: wanted.pipeline },
            };
        }),
    };
}

/** Without demand the multiples are infinite, which JSON can't carry; they are given as 0. */
function finite(value: number): number {
    return Number.isFinite(value) ? value : 0;
}

function describeRange(held: {
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: { readonly first: number; readonly last: number; };
    readonly adapters: readonly string[];
}): RangeStatus {
    return {
        model: held.model,
        modelVersion: held.modelVersion,
        firstLayer: held.layers.first,
        lastLayer: held.layers.last,
        adapters: held.adapters,
    };
}
