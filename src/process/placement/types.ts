/** What placement works on: backend servers with what they hold, demand, and the plan that follows from them. */
import type { BackendServerDescription, Holding, ServingRole } from "../../domain/backend-server.js";
import type { LayerRange } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import type { Topology } from "../../domain/topology.js";

/** A backend server with what it was last known to hold. */
export interface PlacementServer {
    readonly description: BackendServerDescription;
    readonly holdings: readonly Holding[];
    readonly role: ServingRole;
    /** It takes no new attempts and is about to leave. */
    readonly draining: boolean;
}

/** Demand of one customer for one model. */
export interface PlacementDemand {
    readonly model: string;
    readonly customer: string;
    readonly tokensPerSecond: number;
    /** Adapter that the customer's requests name. */
    readonly adapter?: string;
}

/** Everything that a plan follows from. */
export interface PlacementInput {
    readonly configurationVersion: number;
    readonly servers: readonly PlacementServer[];
    readonly models: ReadonlyMap<string, ModelDescription>;
    readonly demand: readonly PlacementDemand[];
    readonly topology: Topology;
    /**
     * Share of each model's compute that goes to prompts; where it is given and the model has pipelines enough in an
     * availability zone, some of them run prompts only and the others generate only.
     */
    readonly prefillShares?: ReadonlyMap<string, number>;
}

/** What one backend server is to hold. */
export interface Assignment {
    readonly backendServer: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly layers: LayerRange;
    readonly adapters: readonly string[];
    readonly role: ServingRole;
    /** Name of the pipeline that it was placed for. Requests may still cross between pipelines. */
    readonly pipeline: string;
}

/** What the plan gives one model. */
export interface ModelCapacity {
    readonly model: string;
    /** Largest flow through all layers, in tokens a second. */
    readonly tokensPerSecond: number;
    readonly demandTokensPerSecond: number;
    /** The flow that is left after the loss of the availability zone that carries most of it. */
    readonly worstZoneLossTokensPerSecond: number;
}

/** Where every model's layers are to be. */
export interface PlacementPlan {
    readonly configurationVersion: number;
    readonly assignments: ReadonlyMap<string, Assignment>;
    readonly capacities: readonly ModelCapacity[];
    /** The largest multiple of the whole demand that the plan carries. */
    readonly demandMultiple: number;
    /** The largest multiple that any placement could carry, by compute alone. */
    readonly boundDemandMultiple: number;
    /** Weights to load before the plan is in place, in bytes. */
    readonly movedBytes: number;
    /** Models for which no whole pipeline fits. */
    readonly unplaced: readonly string[];
    readonly reason: string;
}

/** A model with its share of the fleet's compute. */
export interface ModelShare {
    readonly model: ModelDescription;
    readonly demandTokensPerSecond: number;
    /** Share of all layer tokens, from 0 to 1. */
    readonly share: number;
}

/** A backend server as the layout sees it. */
export interface LayoutServer {
    readonly server: PlacementServer;
    /** Layers times tokens a second. */
    readonly capacity: number;
    /** Region and availability zone. */
    readonly zone: string;
}

/** Servers of one place, usually an availability zone, that carry one model together. */
export interface Bucket {
    readonly share: ModelShare;
    readonly zone: string;
    /** Layer tokens a second that the model should have here. */
    readonly target: number;
    /** Servers that keep the range they hold. */
    readonly kept: { readonly member: LayoutServer; readonly layers: LayerRange; }[];
    /** Servers that are given a range. */
    readonly added: LayoutServer[];
}

/** A range that one server of a bucket is given. */
export interface PlacedRange {
    readonly member: LayoutServer;
    readonly layers: LayerRange;
    readonly pipeline: string;
}
