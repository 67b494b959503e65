/** Data types of layer placement: backend servers and their holdings, demand, and the resulting plan. */
import type { BackendServerDescription, Holding, ServingRole } from "../../domain/backend-server.js";
import type { LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import type { Topology } from "../../domain/topology.js";

/** A backend server with its last reported holdings. */
export interface PlacementServer {
    readonly description: BackendServerDescription;
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
    /** The server accepts no new attempts and is about to leave the fleet. */
    readonly draining: boolean;
}

/** Demand of one customer for one model. */
export interface PlacementDemand {
    readonly model: string;
    readonly customer: string;
    readonly tokensPerSecond: number;
    /** Adapter named in the customer's requests. */
    readonly adapter?: string;
}

/** Input of the planner; the plan is a deterministic function of it. */
export interface PlacementInput {
    readonly configurationVersion: number;
    readonly servers: readonly PlacementServer[];
    readonly models: ReadonlyMap<string, ModelDescription>;
    readonly demand: readonly PlacementDemand[];
    readonly topology: Topology;
    /**
     * Share of each model's compute that is spent on prefill, by model name. Where a model has a share and enough
     * pipelines in an availability zone, its pipelines there are divided into prefill-only and decode-only pipelines.
     */
    readonly prefillShares?: ReadonlyMap<string, number>;
}

/** The layers, adapters and role that the plan assigns to one backend server. */
export interface Assignment {
    readonly backendServer: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
    readonly role: ServingRole;
    /** Name of the pipeline that the server was planned for. Requests may still cross between pipelines. */
    readonly pipeline: string;
}

/** Throughput of one model under the plan. */
export interface ModelCapacity {
    readonly model: string;
    /** Maximum flow through all layers, in tokens per second. */
    readonly tokensPerSecond: number;
    readonly demandTokensPerSecond: number;
    /** Remaining flow after the loss of the availability zone with the largest flow. */
    readonly worstZoneLossTokensPerSecond: number;
}

/** The target placement of the layers of all models. */
export interface PlacementPlan {
    readonly configurationVersion: number;
    readonly assignments: ReadonlyMap<string, Assignment>;
    readonly capacities: readonly ModelCapacity[];
    /** The largest factor by which all demand can be multiplied so that the plan still carries it. */
    readonly demandMultiple: number;
    /** Upper bound of `demandMultiple` for any placement, from the fleet's total compute. */
    readonly boundDemandMultiple: number;
    /** Bytes of weights that have to be loaded to reach the plan. */
    readonly movedBytes: number;
    /** Models without a complete pipeline in the plan. */
    readonly unplaced: readonly string[];
    readonly reason: string;
}

/** A model with its share of the fleet's compute. */
export interface ModelShare {
    readonly model: ModelDescription;
    readonly demandTokensPerSecond: number;
    /** Share of the fleet's layer tokens per second, from 0 to 1. */
    readonly share: number;
}

/** A backend server with its compute capacity and zone, as input of the layout. */
export interface LayoutServer {
    readonly server: PlacementServer;
    /** Layer tokens per second: layers times tokens per second. */
    readonly capacity: number;
    /** `REGION/AVAILABILITY-ZONE`. */
    readonly zone: string;
}

/** The servers of one availability zone that are allocated to one model. */
export interface ModelAllocation {
    readonly share: ModelShare;
    readonly zone: string;
    /** Layer tokens per second that the model should get in this zone. */
    readonly target: number;
    /** Servers that keep the layer range that they hold. */
    readonly kept: { readonly member: LayoutServer; readonly layers: LayerRange; }[];
    /** Servers that get a new layer range. */
    readonly added: LayoutServer[];
}

/** The layer range of one server in a layout. */
export interface PlacedRange {
    readonly member: LayoutServer;
    readonly layers: LayerRange;
    readonly pipeline: string;
}
