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
    readonly draining: boolean;
    holdings: readonly Holding[];
    role: ServingRole;
}

export class TransitionPlanner {
    private readonly coverage: ModelCoverage;
    private readonly servers: SimulatedServer[];
    private readonly steps: TransitionStep[] = [];

    constructor(
        present: readonly PlacementServer[],
        assignments: ReadonlyMap<string, Assignment>,
        private readonly models: ReadonlyMap<string, ModelDescription>,
    ) {
        this.coverage = new ModelCoverage(models);
        this.servers = present.map(server => ({
            id: server.description.id,
            memoryBytes: server.description.class.memoryBytes,
            assignment: assignments.get(server.description.id),
            draining: server.draining,
            holdings: server.holdings,
            role: server.role,
        }));
        this.servers.sort((left, right) =>
            compareNames(left.assignment?.pipeline ?? "", right.assignment?.pipeline ?? "")
            || (left.assignment?.layers.first ?? 0) - (right.assignment?.layers.first ?? 0)
            || compareNames(left.id, right.id)
        );
        for (const server of this.servers.filter(other => !other.draining)) {
            server.holdings.forEach(holding => this.coverage.add(holding, server.role));
        }
    }

    /** Yields after each server. */
    *plan(): Generator<void, Transition> {
        const active = this.servers.filter(server => !server.draining);
        for (const server of this.wholenessFirst(active)) {
            if (this.needsLoad(server) && this.fitsBeside(server)) {
                this.load(server);
            }
            yield;
        }
        const waiting = yield* this.changeOverAll(active.filter(server => this.needsLoad(server)));
        const left: SimulatedServer[] = [];
        for (const server of active) {
            if (!this.tidy(server)) {
                left.push(server);
            }
            yield;
        }
        return { steps: this.steps, blocked: [...new Set([...waiting, ...left].map(server => server.id))] };
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
    private wholenessFirst(servers: readonly SimulatedServer[]): SimulatedServer[] {
        const broken = new Set([...this.models.keys()].filter(model => !this.coverage.isWhole(model)));
        const rank = (server: SimulatedServer) => broken.has(server.assignment?.model ?? "") ? 0 : 1;
        return [...servers].sort((left, right) => rank(left) - rank(right));
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

/** Plans the orders from present holdings to the assignments, in steps between which other work may run. */
export function planTransition(
    present: readonly PlacementServer[],
    assignments: ReadonlyMap<string, Assignment>,
    models: ReadonlyMap<string, ModelDescription>,
): Generator<void, Transition> {
    return new TransitionPlanner(present, assignments, models).plan();
}
