/** Response types of the operator interface's `GET /operator/placement`, and the code that builds the response. */
import type { ServingRole } from "../../domain/backend-server.js";
import type { PlacementHolder, PlacementView } from "./placement-holder.js";
import type { HolderRecord } from "./placement-lease.js";
import type { TransitionStep } from "./transition.js";
import type { ModelCapacity } from "./types.js";

/** A layer range of a model that a backend server holds or is assigned. */
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

/** Response of one router; `plan` is present only on the router that holds the placement lease. */
export interface PlacementStatus {
    readonly holder?: HolderRecord;
    readonly isHolder: boolean;
    /** Milliseconds until orders may be sent to backend servers that ignore fencing numbers. */
    readonly settleMilliseconds: number;
    readonly plan?: PlacementPlanStatus;
}

/** Builds the response of this router. Its `holder` field is undefined if the platform names none or cannot be read. */
export async function buildPlacementStatus(holder: PlacementHolder): Promise<PlacementStatus> {
    const { lease, view } = holder;
    return {
        holder: await lease.readHolder().catch(() => undefined),
        isHolder: lease.isHeld,
        settleMilliseconds: lease.settleMilliseconds,
        plan: view === undefined ? undefined : describeView(view),
    };
}

/** The plan, its orders, and each backend server with its current and its assigned layers. */
export function describeView({ servers, plan, transition }: PlacementView): PlacementPlanStatus {
    return {
        configurationVersion: plan.configurationVersion,
        reason: plan.reason,
        demandMultiple: finiteOrZero(plan.demandMultiple),
        boundDemandMultiple: finiteOrZero(plan.boundDemandMultiple),
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

/** Without demand the multiples are infinite, which JSON cannot represent; they are reported as 0. */
function finiteOrZero(value: number): number {
    return Number.isFinite(value) ? value : 0;
}

function describeRange(range: {
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: { readonly first: number; readonly last: number; };
    readonly adapters: readonly string[];
}): RangeStatus {
    return {
        model: range.model,
        modelVersion: range.modelVersion,
        firstLayer: range.layers.first,
        lastLayer: range.layers.last,
        adapters: range.adapters,
    };
}
