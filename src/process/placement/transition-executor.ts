/**
 * Executes a transition: several backend servers concurrently, the orders of each server in sequence. Before an unload
 * or a role change, it checks against the last reported holdings that the model keeps a complete pipeline. Before an
 * unload that makes room for a load, it also checks that most of the model's servers remain available.
 */
import type { Logger } from "../../common/logger.js";
import type { Holding, ServingRole } from "../../domain/backend-server.js";
import type { HoldingsReport } from "../../domain/engine-protocol.js";
import { layerRangesEqual } from "../../domain/layers.js";
import type { ModelDescription } from "../../domain/model.js";
import { maximumConcurrentOrders, maximumUnavailableShare } from "./constants.js";
import { ModelCoverage } from "./model-coverage.js";
import { OrderOutcome, type OrderSender } from "./order-sender.js";
import type { Transition, TransitionStep } from "./transition.js";
import type { PlacementServer } from "./types.js";

export interface ExecutionResult {
    readonly completedSteps: number;
    /** Steps that failed, were not sent or were not safe to execute. */
    readonly openSteps: number;
    /** Backend servers that did not answer. */
    readonly unreachable: readonly string[];
    /** Whether a backend server has seen a higher fencing number than the holder's. */
    readonly stale: boolean;
}

/** Called after each order that was sent; `report` is undefined if the server's holdings could not be read then. */
export type HoldingsListener = (backendServer: string, report: HoldingsReport | undefined) => void;

/** The pending steps of one backend server and its expected state. */
interface ServerQueue {
    readonly server: PlacementServer;
    readonly steps: TransitionStep[];
    holdings: readonly Holding[];
    role: ServingRole;
    running: boolean;
    /** The model that was unloaded from the server for a load that is not complete yet. */
    unavailableModel: string | undefined;
}

export class TransitionExecutor {
    constructor(
        private readonly sender: OrderSender,
        private readonly logger: Logger,
        private readonly onHoldingsRead: HoldingsListener,
    ) {}

    /** Runs until all steps are complete, no step is possible, or the signal is aborted. Each wait is bounded. */
    execute(
        transition: Transition,
        servers: readonly PlacementServer[],
        models: ReadonlyMap<string, ModelDescription>,
        signal: AbortSignal,
    ): Promise<ExecutionResult> {
        return new Execution(this.sender, this.logger, this.onHoldingsRead, transition, servers, models, signal).run();
    }
}

class Execution {
    private readonly coverage: ModelCoverage;
    private readonly queues = new Map<string, ServerQueue>();
    private readonly unavailableLimits = new Map<string, number>();
    private readonly unavailableCounts = new Map<string, number>();
    private readonly running = new Set<Promise<void>>();
    private readonly unreachable: string[] = [];
    private completedSteps = 0;
    private openSteps = 0;
    private stale = false;
    private stopped = false;

    constructor(
        private readonly sender: OrderSender,
        private readonly logger: Logger,
        private readonly onHoldingsRead: HoldingsListener,
        transition: Transition,
        servers: readonly PlacementServer[],
        models: ReadonlyMap<string, ModelDescription>,
        private readonly signal: AbortSignal,
    ) {
        this.coverage = new ModelCoverage(models);
        const byId = new Map(servers.map(server => [server.description.id, server]));
        this.createQueues(transition, byId);
        this.countCurrentHoldings(servers);
    }

    async run(): Promise<ExecutionResult> {
        for (;;) {
            this.startReadySteps();
            if (this.running.size === 0) {
                break;
            }
            await Promise.race(this.running);
        }
        const unstartedSteps = [...this.queues.values()].reduce((sum, queue) => sum + queue.steps.length, 0);
        return {
            completedSteps: this.completedSteps,
            openSteps: this.openSteps + unstartedSteps,
            unreachable: this.unreachable,
            stale: this.stale,
        };
    }

    private createQueues(transition: Transition, servers: ReadonlyMap<string, PlacementServer>): void {
        for (const step of transition.steps) {
            const server = servers.get(step.backendServer);
            const queue = this.queues.get(step.backendServer);
            if (queue !== undefined) {
                queue.steps.push(step);
            }
            else if (server !== undefined) {
                this.queues.set(step.backendServer, {
                    server,
                    steps: [step],
                    holdings: server.holdings,
                    role: server.role,
                    running: false,
                    unavailableModel: undefined,
                });
            }
        }
    }

    private countCurrentHoldings(servers: readonly PlacementServer[]): void {
        const serverCounts = new Map<string, number>();
        for (const server of servers.filter(other => !other.draining)) {
            for (const holding of server.holdings) {
                this.coverage.add(holding, server.role);
                serverCounts.set(holding.model, (serverCounts.get(holding.model) ?? 0) + 1);
            }
        }
        for (const [model, count] of serverCounts) {
            this.unavailableLimits.set(model, Math.max(1, Math.floor(count * maximumUnavailableShare)));
        }
    }

    private startReadySteps(): void {
        for (const queue of this.queues.values()) {
            if (this.stopped || this.signal.aborted || this.running.size >= maximumConcurrentOrders) {
                return;
            }
            if (!queue.running && queue.steps.length > 0 && this.isSafe(queue, queue.steps[0]!)) {
                this.start(queue);
            }
        }
    }

    private start(queue: ServerQueue): void {
        queue.running = true;
        const run: Promise<void> = this.executeStep(queue, queue.steps.shift()!).finally(() => {
            queue.running = false;
            this.running.delete(run);
        });
        this.running.add(run);
    }

    /** Whether the step leaves each model a complete pipeline and observes the limit on unavailable servers. */
    private isSafe(queue: ServerQueue, step: TransitionStep): boolean {
        const { action } = step;
        if (action.kind === "change-role") {
            return !queue.holdings.some(holding =>
                this.coverage.wouldLoseLastPipeline(
                    holding.model,
                    () => this.updateRoleCoverage(queue, queue.role, action.role),
                    () => this.updateRoleCoverage(queue, action.role, queue.role),
                )
            );
        }
        if (action.kind !== "unload") {
            return true;
        }
        const holding = findHolding(queue, step);
        if (holding === undefined) {
            return true;
        }
        const isReplacement = queue.steps.some(other => other.action.kind === "load");
        const unavailable = this.unavailableCounts.get(action.model) ?? 0;
        if (isReplacement && unavailable >= (this.unavailableLimits.get(action.model) ?? 1)) {
            return false;
        }
        return !this.coverage.wouldLoseLastPipeline(
            action.model,
            () => this.coverage.remove(holding, queue.role),
            () => this.coverage.add(holding, queue.role),
        );
    }

    private updateRoleCoverage(queue: ServerQueue, from: ServingRole, to: ServingRole): void {
        queue.holdings.forEach(holding => this.coverage.remove(holding, from));
        queue.holdings.forEach(holding => this.coverage.add(holding, to));
    }

    private async executeStep(queue: ServerQueue, step: TransitionStep): Promise<void> {
        this.applyExpectedEffect(queue, step);
        const { description } = queue.server;
        const { outcome, report, message } = await this.sender.send(description, step, this.signal);
        this.applyReport(queue, report, outcome);
        if (outcome === OrderOutcome.done && report !== undefined) {
            this.completedSteps++;
            this.markAvailable(queue, step);
            return;
        }
        this.openSteps += 1 + queue.steps.length;
        queue.steps.length = 0;
        this.logger.warn("placement order failed; dropping the remaining orders for the backend server", {
            backendServer: description.id,
            outcome,
            message,
        });
        this.stale ||= outcome === OrderOutcome.stale;
        this.stopped ||= outcome === OrderOutcome.stale || outcome === OrderOutcome.notSent;
        if (report === undefined && outcome !== OrderOutcome.notSent) {
            this.unreachable.push(description.id);
        }
    }

    /** Counts a range as unloaded, or a role as changed, from the time at which its order is sent. */
    private applyExpectedEffect(queue: ServerQueue, step: TransitionStep): void {
        const { action } = step;
        if (action.kind === "change-role") {
            this.updateRoleCoverage(queue, queue.role, action.role);
            queue.role = action.role;
        }
        const holding = findHolding(queue, step);
        if (action.kind === "unload" && holding !== undefined) {
            this.coverage.remove(holding, queue.role);
            queue.holdings = queue.holdings.filter(other => other !== holding);
            if (queue.unavailableModel === undefined && queue.steps.some(other => other.action.kind === "load")) {
                queue.unavailableModel = action.model;
                this.unavailableCounts.set(action.model, (this.unavailableCounts.get(action.model) ?? 0) + 1);
            }
        }
    }

    private markAvailable(queue: ServerQueue, step: TransitionStep): void {
        const model = queue.unavailableModel;
        if (step.action.kind === "load" && model !== undefined) {
            queue.unavailableModel = undefined;
            this.unavailableCounts.set(model, this.unavailableCounts.get(model)! - 1);
        }
    }

    /** Replaces the server's expected holdings by the reported ones; by none if it did not answer or is draining. */
    private applyReport(queue: ServerQueue, report: HoldingsReport | undefined, outcome: OrderOutcome): void {
        if (outcome === OrderOutcome.notSent) {
            return;
        }
        queue.holdings.forEach(holding => this.coverage.remove(holding, queue.role));
        queue.holdings = report === undefined || report.draining ? [] : report.holdings;
        queue.role = report?.role ?? queue.role;
        queue.holdings.forEach(holding => this.coverage.add(holding, queue.role));
        this.onHoldingsRead(queue.server.description.id, report);
    }
}

function findHolding(queue: ServerQueue, step: TransitionStep): Holding | undefined {
    const { action } = step;
    return action.kind !== "unload"
        ? undefined
        : queue.holdings.find(holding =>
            holding.model === action.model && holding.modelVersion === action.modelVersion
            && layerRangesEqual(holding.layers, action.layers)
        );
}
