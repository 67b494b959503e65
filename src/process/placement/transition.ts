/**
 * The ordered list of orders that leads from what is held to what a plan wants. Loads that take nothing away come
 * first, pipeline by pipeline; then servers change over one after another, each only while every model in use keeps a
 * whole pipeline; last, what is no longer wanted is unloaded. A change that can't be made safely is reported as
 * blocked and left undone.
 */
import type { ServingRole } from "../../domain/backend-server.js";
import { type Holding } from "../../domain/backend-server.js";
import type { OrderAction } from "../../domain/engine-protocol.js";
import { layerCount, type LayerRange, layerRangesEqual } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { ModelCoverage } from "./model-coverage.js";
import { compareNames } from "./ordering.js";
import { satisfies } from "./placement-planner.js";
import type { Assignment, PlacementServer } from "./types.js";

/** One order to one backend server. */
export interface TransitionStep {
    readonly backendServer: string;
    readonly action: OrderAction;
    /** Weights that the order takes from the weight store. */
    readonly bytes: number;
}

export interface Transition {
    readonly steps: readonly TransitionStep[];
    /** Backend servers whose change would leave a model without a whole pipeline. */
    readonly blocked: readonly string[];
}

/** A server as the transition will leave it so far. */
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
        private readonly present: readonly PlacementServer[],
        private readonly assignments: ReadonlyMap<string, Assignment>,
        private readonly models: ReadonlyMap<string, ModelDescription>,
    ) {
        this.coverage = new ModelCoverage(models);
    }

    /** Yields after each server. */
    *plan(): Generator<void, Transition> {
        const active = yield* this.simulatePresent();
        for (const server of this.wholenessFirst(active)) {
            if (this.needsLoad(server) && this.fitsBeside(server)) {
                this.load(server);
            }
            yield;
        }
        const waiting = yield* this.changeOverAll(active.filter(server => this.needsLoad(server)));
        const unfinished: SimulatedServer[] = [];
        for (const server of active) {
            if (!this.tidy(server)) {
                unfinished.push(server);
            }
            yield;
        }
        return { steps: this.steps, blocked: [...new Set([...waiting, ...unfinished].map(server => server.id))] };
    }

    /** The servers that may be changed, pipeline by pipeline in layer order. */
    private *simulatePresent(): Generator<void, SimulatedServer[]> {
        const pipelines = new Map<string, SimulatedServer[]>();
        for (const server of this.present.filter(other => !other.draining)) {
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

    /** Changes servers over for as long as any can be; gives those that can't. */
    private *changeOverAll(servers: readonly SimulatedServer[]): Generator<void, readonly SimulatedServer[]> {
        let waiting = servers;
        for (;;) {
            const blocked: SimulatedServer[] = [];
            for (const server of waiting) {
                if (!this.changeOver(server)) {
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

    /** Servers for models that have no whole pipeline come first. */
    private wholenessFirst(servers: readonly SimulatedServer[]): readonly SimulatedServer[] {
        const broken = new Set([...this.models.keys()].filter(model => !this.coverage.isWhole(model)));
        const isBroken = (server: SimulatedServer) => broken.has(server.assignment?.model ?? "");
        return broken.size === 0
            ? servers
            : [...servers.filter(isBroken), ...servers.filter(server => !isBroken(server))];
    }

    private needsLoad(server: SimulatedServer): boolean {
        const { assignment } = server;
        return assignment !== undefined && !server.holdings.some(holding => satisfies(holding, assignment));
    }

    private fitsBeside(server: SimulatedServer): boolean {
        const held = server.holdings.reduce((sum, holding) => sum + this.bytes(holding), 0);
        return held + this.bytes(server.assignment!) <= server.memoryBytes;
    }

    private bytes(held: { readonly model: string; readonly layers: LayerRange; }): number {
        return layerCount(held.layers) * (this.models.get(held.model)?.layerBytes ?? 0);
    }

    /** Makes room by unloading and loads; does nothing when that is not safe. */
    private changeOver(server: SimulatedServer): boolean {
        const room = this.holdingsToUnload(server);
        if (room === undefined) {
            return false;
        }
        room.forEach(holding => this.unload(server, holding));
        this.load(server);
        return true;
    }

    /** Holdings that must go before the load fits and that may go; undefined when that is not enough. */
    private holdingsToUnload(server: SimulatedServer): readonly Holding[] | undefined {
        const wanted = this.bytes(server.assignment!);
        let held = server.holdings.reduce((sum, holding) => sum + this.bytes(holding), 0);
        const chosen: Holding[] = [];
        for (const holding of server.holdings) {
            if (held + wanted > server.memoryBytes && !this.breaksWithout(server, holding)) {
                this.coverage.remove(holding, server.role);
                chosen.push(holding);
                held -= this.bytes(holding);
            }
        }
        chosen.forEach(holding => this.coverage.add(holding, server.role));
        return held + wanted <= server.memoryBytes ? chosen : undefined;
    }

    private breaksWithout(server: SimulatedServer, holding: Holding): boolean {
        return this.coverage.breaks(
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

    /** Brings adapters and the role in line and unloads the rest; false when something must stay for now. */
    private tidy(server: SimulatedServer): boolean {
        this.loadAdapters(server);
        const roleChanged = this.changeRole(server);
        let complete = true;
        for (const holding of server.holdings) {
            const wanted = server.assignment !== undefined && this.isWanted(server, holding, server.assignment);
            if (!wanted && this.breaksWithout(server, holding)) {
                complete = false;
            }
            else if (!wanted) {
                this.unload(server, holding);
            }
        }
        return complete && roleChanged;
    }

    /** Of several holdings that satisfy the assignment, the exact one is wanted, or else the first. */
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
        const broken = server.holdings.some(holding =>
            this.coverage.breaks(holding.model, () => change(previous, role), () => change(role, previous))
        );
        if (broken) {
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

/** Plans the orders from present holdings to the assignments, in steps between which other work may run. */
export function planTransition(
    present: readonly PlacementServer[],
    assignments: ReadonlyMap<string, Assignment>,
    models: ReadonlyMap<string, ModelDescription>,
): Generator<void, Transition> {
    return new TransitionPlanner(present, assignments, models).plan();
}
