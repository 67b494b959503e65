/**
 * Plans the sequence of orders that changes the current holdings into those of a plan. Loads that fit without unloading
 * come first, pipeline by pipeline; then servers replace their holdings one after another, each only if every model
 * that has a complete pipeline keeps one; finally, adapters and roles are corrected and holdings that are no longer
 * needed are unloaded. A server with a change that is not safe is reported as blocked, and that change is left out.
 */
import type { ServingRole } from "../../domain/backend-server.js";
import { type Holding } from "../../domain/backend-server.js";
import type { OrderAction } from "../../domain/engine-protocol.js";
import { layerCount, type LayerRange, layerRangesEqual } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { compareNames } from "./compare-names.js";
import { ModelCoverage } from "./model-coverage.js";
import { satisfies } from "./placement-planner.js";
import type { Assignment, PlacementServer } from "./types.js";

/** One order to one backend server. */
export interface TransitionStep {
    readonly backendServer: string;
    readonly action: OrderAction;
    /** Bytes of weights that the order reads from the weight store. */
    readonly bytes: number;
}

export interface Transition {
    readonly steps: readonly TransitionStep[];
    /** Backend servers whose change would leave a model without a complete pipeline. */
    readonly blocked: readonly string[];
}

/** The state of a server after the steps planned so far. */
interface SimulatedServer {
    readonly id: string;
    readonly memoryBytes: number;
    readonly assignment: Assignment | undefined;
    holdings: readonly Holding[];
    role: ServingRole;
}

export class TransitionPlanner {
    private readonly coverage: ModelCoverage;
    private readonly steps: TransitionStep[] = [];

    constructor(
        private readonly current: readonly PlacementServer[],
        private readonly assignments: ReadonlyMap<string, Assignment>,
        private readonly models: ReadonlyMap<string, ModelDescription>,
    ) {
        this.coverage = new ModelCoverage(models);
    }

    /** Yields after each server. */
    *plan(): Generator<void, Transition> {
        const active = yield* this.simulateCurrent();
        for (const server of this.incompleteModelsFirst(active)) {
            if (this.needsLoad(server) && this.fitsAlongsideHoldings(server)) {
                this.load(server);
            }
            yield;
        }
        const waiting = yield* this.replaceHoldingsOfAll(active.filter(server => this.needsLoad(server)));
        const unfinished: SimulatedServer[] = [];
        for (const server of active) {
            if (!this.reconcile(server)) {
                unfinished.push(server);
            }
            yield;
        }
        return { steps: this.steps, blocked: [...new Set([...waiting, ...unfinished].map(server => server.id))] };
    }

    /** The servers that may be changed, by pipeline and within it in layer order. */
    private *simulateCurrent(): Generator<void, SimulatedServer[]> {
        const pipelines = new Map<string, SimulatedServer[]>();
        for (const server of this.current.filter(other => !other.draining)) {
            const simulated = this.simulate(server);
            const name = simulated.assignment?.pipeline ?? "";
            const pipeline = pipelines.get(name) ?? [];
            pipeline.push(simulated);
            pipelines.set(name, pipeline);
            server.holdings.forEach(holding => this.coverage.add(holding, server.role));
            yield;
        }
        const ordered: SimulatedServer[] = [];
        for (const name of [...pipelines.keys()].sort(compareNames)) {
            ordered.push(...pipelines.get(name)!.sort(compareInPipeline));
            yield;
        }
        return ordered;
    }

    private simulate(server: PlacementServer): SimulatedServer {
        return {
            id: server.description.id,
            memoryBytes: server.description.class.memoryBytes,
            assignment: this.assignments.get(server.description.id),
            holdings: server.holdings,
            role: server.role,
        };
    }

    /** Replaces holdings until no further server can be changed; returns the remaining servers. */
    private *replaceHoldingsOfAll(servers: readonly SimulatedServer[]): Generator<void, readonly SimulatedServer[]> {
        let waiting = servers;
        for (;;) {
            const blocked: SimulatedServer[] = [];
            for (const server of waiting) {
                if (!this.replaceHoldings(server)) {
                    blocked.push(server);
                }
                yield;
            }
            if (blocked.length === 0 || blocked.length === waiting.length) {
                return blocked;
            }
            waiting = blocked;
        }
    }

    /** Puts servers that are assigned a model without a complete pipeline first. */
    private incompleteModelsFirst(servers: readonly SimulatedServer[]): readonly SimulatedServer[] {
        const incompleteModels = new Set(
            [...this.models.keys()].filter(model => !this.coverage.hasCompletePipeline(model)),
        );
        const servesIncompleteModel = (server: SimulatedServer) => incompleteModels.has(server.assignment?.model ?? "");
        return incompleteModels.size === 0
            ? servers
            : [...servers.filter(servesIncompleteModel), ...servers.filter(server => !servesIncompleteModel(server))];
    }

    private needsLoad(server: SimulatedServer): boolean {
        const { assignment } = server;
        return assignment !== undefined && !server.holdings.some(holding => satisfies(holding, assignment));
    }

    private fitsAlongsideHoldings(server: SimulatedServer): boolean {
        const heldBytes = server.holdings.reduce((sum, holding) => sum + this.bytes(holding), 0);
        return heldBytes + this.bytes(server.assignment!) <= server.memoryBytes;
    }

    private bytes(held: { readonly model: string; readonly layers: LayerRange; }): number {
        return layerCount(held.layers) * (this.models.get(held.model)?.layerBytes ?? 0);
    }

    /** Unloads as much as needed and loads the assignment; false, without any step, if that is not safe. */
    private replaceHoldings(server: SimulatedServer): boolean {
        const holdingsToRemove = this.holdingsToUnload(server);
        if (holdingsToRemove === undefined) {
            return false;
        }
        holdingsToRemove.forEach(holding => this.unload(server, holding));
        this.load(server);
        return true;
    }

    /** Holdings to unload so that the assignment fits; undefined if unloading enough of them is not safe. */
    private holdingsToUnload(server: SimulatedServer): readonly Holding[] | undefined {
        const neededBytes = this.bytes(server.assignment!);
        let heldBytes = server.holdings.reduce((sum, holding) => sum + this.bytes(holding), 0);
        const chosen: Holding[] = [];
        for (const holding of server.holdings) {
            if (heldBytes + neededBytes > server.memoryBytes && !this.unloadLosesLastPipeline(server, holding)) {
                this.coverage.remove(holding, server.role);
                chosen.push(holding);
                heldBytes -= this.bytes(holding);
            }
        }
        chosen.forEach(holding => this.coverage.add(holding, server.role));
        return heldBytes + neededBytes <= server.memoryBytes ? chosen : undefined;
    }

    private unloadLosesLastPipeline(server: SimulatedServer, holding: Holding): boolean {
        return this.coverage.wouldLoseLastPipeline(
            holding.model,
            () => this.coverage.remove(holding, server.role),
            () => this.coverage.add(holding, server.role),
        );
    }

    private unload(server: SimulatedServer, holding: Holding): void {
        const { model, modelVersion, layers } = holding;
        this.steps.push({
            backendServer: server.id,
            action: { kind: "unload", model, modelVersion, layers },
            bytes: 0,
        });
        this.coverage.remove(holding, server.role);
        server.holdings = server.holdings.filter(other => other !== holding);
    }

    private load(server: SimulatedServer): void {
        const { model, modelVersion, layers } = server.assignment!;
        const holding: Holding = { model, modelVersion, layers, adapters: [] };
        this.steps.push({
            backendServer: server.id,
            action: { kind: "load", model, modelVersion, layers },
            bytes: this.bytes(holding),
        });
        this.coverage.add(holding, server.role);
        server.holdings = [...server.holdings, holding];
        this.loadAdapters(server);
    }

    private loadAdapters(server: SimulatedServer): void {
        const { assignment } = server;
        const holding = assignment && server.holdings.find(other => satisfies(other, assignment));
        if (assignment === undefined || holding === undefined) {
            return;
        }
        const { model, modelVersion } = assignment;
        for (const adapter of assignment.adapters.filter(name => !holding.adapters.includes(name))) {
            this.steps.push({
                backendServer: server.id,
                action: { kind: "load-adapter", model, modelVersion, adapter },
                bytes: 0,
            });
        }
        for (const adapter of holding.adapters.filter(name => !assignment.adapters.includes(name))) {
            this.steps.push({
                backendServer: server.id,
                action: { kind: "unload-adapter", model, modelVersion, adapter },
                bytes: 0,
            });
        }
        const changed = { ...holding, adapters: assignment.adapters };
        server.holdings = server.holdings.map(other => other === holding ? changed : other);
    }

    /** Corrects adapters and role, and unloads what the assignment does not need; false if part of that is not safe. */
    private reconcile(server: SimulatedServer): boolean {
        this.loadAdapters(server);
        const roleChanged = this.changeRole(server);
        let complete = true;
        for (const holding of server.holdings) {
            const wanted = server.assignment !== undefined && this.isWanted(server, holding, server.assignment);
            if (!wanted && this.unloadLosesLastPipeline(server, holding)) {
                complete = false;
            }
            else if (!wanted) {
                this.unload(server, holding);
            }
        }
        return complete && roleChanged;
    }

    /** Of several holdings that satisfy the assignment, the one with the exact range is kept, or else the first. */
    private isWanted(server: SimulatedServer, holding: Holding, assignment: Assignment): boolean {
        const satisfying = server.holdings.filter(other => satisfies(other, assignment));
        const exact = satisfying.find(other => layerRangesEqual(other.layers, assignment.layers));
        return holding === (exact ?? satisfying[0]);
    }

    private changeRole(server: SimulatedServer): boolean {
        const role = server.assignment?.role ?? server.role;
        if (role === server.role) {
            return true;
        }
        const previous = server.role;
        const change = (from: ServingRole, to: ServingRole) => {
            server.holdings.forEach(holding => this.coverage.remove(holding, from));
            server.holdings.forEach(holding => this.coverage.add(holding, to));
        };
        const isUnsafe = server.holdings.some(holding =>
            this.coverage.wouldLoseLastPipeline(
                holding.model,
                () => change(previous, role),
                () => change(role, previous),
            )
        );
        if (isUnsafe) {
            return false;
        }
        change(previous, role);
        server.role = role;
        this.steps.push({ backendServer: server.id, action: { kind: "change-role", role }, bytes: 0 });
        return true;
    }
}

function compareInPipeline(left: SimulatedServer, right: SimulatedServer): number {
    return (left.assignment?.layers.first ?? 0) - (right.assignment?.layers.first ?? 0)
        || compareNames(left.id, right.id);
}

/** Plans the orders that change the current holdings into the assignments. Yields after each server. */
export function planTransition(
    current: readonly PlacementServer[],
    assignments: ReadonlyMap<string, Assignment>,
    models: ReadonlyMap<string, ModelDescription>,
): Generator<void, Transition> {
    return new TransitionPlanner(current, assignments, models).plan();
}
