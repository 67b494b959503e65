/**
 * Carries out a transition: several backend servers at once, each one's orders in their order. Before anything is
 * taken away it checks, against what was last read back, that the model keeps a whole pipeline and most of its servers.
 */
import type { Logger } from "../../common/logger.js";
import type { Holding, ServingRole } from "../../domain/backend-server.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import { layerRangesEqual } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { maximumConcurrentOrders, withdrawnShare } from "./constants.js";
import { ModelCoverage } from "./model-coverage.js";
import { OrderOutcome, type OrderSender } from "./order-sender.js";
import type { Transition, TransitionStep } from "./transition.js";
import type { PlacementServer } from "./types.js";

export interface ExecutionResult {
    readonly completedSteps: number;
    /** Steps that were refused, could not be sent or were not safe to take. */
    readonly openSteps: number;
    /** Backend servers that did not answer. */
    readonly unreachable: readonly string[];
    /** A backend server has seen a higher fencing number than the holder's. */
    readonly stale: boolean;
}

/** Receives what a backend server holds after each order. */
export type HoldingsListener = (backendServer: string, report: HoldingsReport | undefined) => void;

interface ServerWork {
    readonly server: PlacementServer;
    readonly steps: TransitionStep[];
    holdings: readonly Holding[];
    role: ServingRole;
    running: boolean;
    /** The model that was unloaded and waits for its successor. */
    withdrawnModel: string | undefined;
}

export class TransitionExecutor {
    constructor(
        private readonly sender: OrderSender,
        private readonly logger: Logger,
        private readonly holdingsRead: HoldingsListener,
    ) {}

    /** Runs until all is done, nothing more can be done, or the signal stops it. Every wait is bounded. */
    execute(
        transition: Transition,
        servers: readonly PlacementServer[],
        models: ReadonlyMap<string, ModelDescription>,
        signal: AbortSignal,
    ): Promise<ExecutionResult> {
        return new Execution(this.sender, this.logger, this.holdingsRead, transition, servers, models, signal).run();
    }
}

class Execution {
    private readonly coverage: ModelCoverage;
    private readonly work = new Map<string, ServerWork>();
    private readonly limits = new Map<string, number>();
    private readonly withdrawn = new Map<string, number>();
    private readonly running = new Set<Promise<void>>();
    private readonly unreachable: string[] = [];
    private completedSteps = 0;
    private openSteps = 0;
    private stale = false;
    private stopped = false;

    constructor(
        private readonly sender: OrderSender,
        private readonly logger: Logger,
        private readonly holdingsRead: HoldingsListener,
        transition: Transition,
        servers: readonly PlacementServer[],
        models: ReadonlyMap<string, ModelDescription>,
        private readonly signal: AbortSignal,
    ) {
        this.coverage = new ModelCoverage(models);
        const byId = new Map(servers.map(server => [server.description.id, server]));
        this.addWork(transition, byId);
        this.countPresent(servers);
    }

    async run(): Promise<ExecutionResult> {
        for (;;) {
            this.startReady();
            if (this.running.size === 0) {
                break;
            }
            await Promise.race(this.running);
        }
        const left = [...this.work.values()].reduce((sum, work) => sum + work.steps.length, 0);
        return {
            completedSteps: this.completedSteps,
            openSteps: this.openSteps + left,
            unreachable: this.unreachable,
            stale: this.stale,
        };
    }

    private addWork(transition: Transition, servers: ReadonlyMap<string, PlacementServer>): void {
        for (const step of transition.steps) {
            const server = servers.get(step.backendServer);
            const work = this.work.get(step.backendServer);
            if (work !== undefined) {
                work.steps.push(step);
            }
            else if (server !== undefined) {
                this.work.set(step.backendServer, {
                    server,
                    steps: [step],
                    holdings: server.holdings,
                    role: server.role,
                    running: false,
                    withdrawnModel: undefined,
                });
            }
        }
    }

    private countPresent(servers: readonly PlacementServer[]): void {
        const holders = new Map<string, number>();
        for (const server of servers.filter(other => !other.draining)) {
            for (const holding of server.holdings) {
                this.coverage.add(holding, server.role);
                holders.set(holding.model, (holders.get(holding.model) ?? 0) + 1);
            }
        }
        for (const [model, count] of holders) {
            this.limits.set(model, Math.max(1, Math.floor(count * withdrawnShare)));
        }
    }

    private startReady(): void {
        for (const work of this.work.values()) {
            if (this.stopped || this.signal.aborted || this.running.size >= maximumConcurrentOrders) {
                return;
            }
            if (!work.running && work.steps.length > 0 && this.mayTake(work, work.steps[0]!)) {
                this.start(work);
            }
        }
    }

    private start(work: ServerWork): void {
        work.running = true;
        const run: Promise<void> = this.takeStep(work, work.steps.shift()!).finally(() => {
            work.running = false;
            this.running.delete(run);
        });
        this.running.add(run);
    }

    /** Whether the step leaves every model with a whole pipeline and most of its servers. */
    private mayTake(work: ServerWork, step: TransitionStep): boolean {
        const { action } = step;
        if (action.kind === "change-role") {
            return !work.holdings.some(holding =>
                this.coverage.breaks(
                    holding.model,
                    () => this.moveRole(work, work.role, action.role),
                    () => this.moveRole(work, action.role, work.role),
                )
            );
        }
        if (action.kind !== "unload") {
            return true;
        }
        const holding = findHolding(work, step);
        if (holding === undefined) {
            return true;
        }
        const isChangeOver = work.steps.some(other => other.action.kind === "load");
        const withdrawn = this.withdrawn.get(action.model) ?? 0;
        if (isChangeOver && withdrawn >= (this.limits.get(action.model) ?? 1)) {
            return false;
        }
        return !this.coverage.breaks(
            action.model,
            () => this.coverage.remove(holding, work.role),
            () => this.coverage.add(holding, work.role),
        );
    }

    private moveRole(work: ServerWork, from: ServingRole, to: ServingRole): void {
        work.holdings.forEach(holding => this.coverage.remove(holding, from));
        work.holdings.forEach(holding => this.coverage.add(holding, to));
    }

    private async takeStep(work: ServerWork, step: TransitionStep): Promise<void> {
        this.reserve(work, step);
        const { description } = work.server;
        const { outcome, report, message } = await this.sender.send(description, step, this.signal);
        this.readBack(work, report, outcome);
        if (outcome === OrderOutcome.done && report !== undefined) {
            this.completedSteps++;
            this.endWithdrawal(work, step);
            return;
        }
        this.openSteps += 1 + work.steps.length;
        work.steps.length = 0;
        this.logger.warn("a placement order was not carried out", { backendServer: description.id, outcome, message });
        this.stale ||= outcome === OrderOutcome.stale;
        this.stopped ||= outcome === OrderOutcome.stale || outcome === OrderOutcome.notSent;
        if (report === undefined && outcome !== OrderOutcome.notSent) {
            this.unreachable.push(description.id);
        }
    }

    /** Counts a range as gone, or a role as changed, from the moment its order is sent. */
    private reserve(work: ServerWork, step: TransitionStep): void {
        const { action } = step;
        if (action.kind === "change-role") {
            this.moveRole(work, work.role, action.role);
            work.role = action.role;
        }
        const holding = findHolding(work, step);
        if (action.kind === "unload" && holding !== undefined) {
            this.coverage.remove(holding, work.role);
            work.holdings = work.holdings.filter(other => other !== holding);
            if (work.withdrawnModel === undefined && work.steps.some(other => other.action.kind === "load")) {
                work.withdrawnModel = action.model;
                this.withdrawn.set(action.model, (this.withdrawn.get(action.model) ?? 0) + 1);
            }
        }
    }

    private endWithdrawal(work: ServerWork, step: TransitionStep): void {
        const model = work.withdrawnModel;
        if (step.action.kind === "load" && model !== undefined) {
            work.withdrawnModel = undefined;
            this.withdrawn.set(model, this.withdrawn.get(model)! - 1);
        }
    }

    /** Replaces what the server was thought to hold by what it says; nothing when it does not answer. */
    private readBack(work: ServerWork, report: HoldingsReport | undefined, outcome: OrderOutcome): void {
        if (outcome === OrderOutcome.notSent) {
            return;
        }
        work.holdings.forEach(holding => this.coverage.remove(holding, work.role));
        work.holdings = report === undefined || report.draining ? [] : report.holdings;
        work.role = report?.role ?? work.role;
        work.holdings.forEach(holding => this.coverage.add(holding, work.role));
        this.holdingsRead(work.server.description.id, report);
    }
}

function findHolding(work: ServerWork, step: TransitionStep): Holding | undefined {
    const { action } = step;
    return action.kind !== "unload"
        ? undefined
        : work.holdings.find(holding =>
            holding.model === action.model && holding.modelVersion === action.modelVersion
            && layerRangesEqual(holding.layers, action.layers)
        );
}
