/**
 * The placement holder: tries to take the lease, and while it has it, observes the fleet, plans, and carries the plan
 * out. It starts over whenever the fleet or the configuration changes. Without the lease it orders nothing, and
 * routing goes on with what is loaded.
 */
import { delay, monotonicNow } from "../../common/clock.js";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import type { RandomSource } from "../../common/random.js";
import type { BackendServerConnections } from "../../domain/backend-connection.js";
import type { BackendServerDescription } from "../../domain/backend-server.js";
import type { ConfigurationSource } from "../../domain/configuration.js";
import {
    leaseRenewMilliseconds,
    leaseRetryMilliseconds,
    longestLoadAllowance,
    observeIntervalMilliseconds,
    orderRetryMilliseconds,
    orderTimeoutMilliseconds,
} from "./constants.js";
import { KnownHoldings } from "./known-holdings.js";
import { OrderSender } from "./order-sender.js";
import type { PlacementLease } from "./placement-lease.js";
import { PlacementPlanner } from "./placement-planner.js";
import { runInSlices } from "./time-slices.js";
import { type ExecutionResult, TransitionExecutor } from "./transition-executor.js";
import { planTransition, type Transition } from "./transition.js";
import type { PlacementDemand, PlacementInput, PlacementPlan, PlacementServer } from "./types.js";
import { WeightStorePacer } from "./weight-store-pacer.js";

/** What the holder needs to know of the fleet. */
export interface PlacementFleet {
    /** Backend servers that are believed to be alive. */
    backendServers(): readonly BackendServerDescription[];
    isLeaving(backendServer: string): boolean;
    /** Demand over all routers. */
    demand(): readonly PlacementDemand[];
    /** Called when a backend server joined, left or died; the result removes the listener. */
    onChange(listener: () => void): () => void;
}

export interface PlacementHolderParts {
    readonly lease: PlacementLease;
    readonly fleet: PlacementFleet;
    readonly configuration: ConfigurationSource;
    readonly connections: BackendServerConnections;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The holder's last look, plan and orders. */
export interface PlacementView {
    readonly servers: readonly PlacementServer[];
    readonly input: PlacementInput;
    readonly plan: PlacementPlan;
    readonly transition: Transition;
}

export class PlacementHolder implements ManagedComponent {
    readonly name = "placement holder";
    private readonly planner = new PlacementPlanner();
    private readonly pacer: WeightStorePacer;
    private readonly sender: OrderSender;
    private readonly known: KnownHoldings;
    private readonly stopping = new AbortController();
    /** Stops the execution that runs now. */
    private execution = new AbortController();
    private wake: () => void = () => undefined;
    private changed = false;
    /** Until then an order without an answer may still take effect. */
    private unsettledUntil = 0;
    private loop: Promise<void> = Promise.resolve();
    private renewal: Promise<void> = Promise.resolve();
    private readonly removeListeners: (() => void)[] = [];
    private lastView: PlacementView | undefined;
    private loggedDecision = "";

    constructor(private readonly parts: PlacementHolderParts) {
        const { lease, connections, logger, metrics, configuration } = parts;
        this.pacer = new WeightStorePacer(configuration.current.weightStore.bytesPerSecond);
        this.sender = new OrderSender(lease, connections, this.pacer, logger, metrics);
        this.known = new KnownHoldings(server => this.sender.readHoldings(server));
    }

    /** The last look, plan and orders while this router is the holder. */
    get view(): PlacementView | undefined {
        return this.parts.lease.isHeld ? this.lastView : undefined;
    }

    get lease(): PlacementLease {
        return this.parts.lease;
    }

    async start(): Promise<void> {
        const startOver = () => this.startOver();
        this.removeListeners.push(this.parts.fleet.onChange(startOver));
        this.removeListeners.push(this.parts.configuration.onChange(startOver));
        this.loop = this.run();
        this.renewal = this.renewWhileHeld();
    }

    /** Sends no further orders, waits for those under way, and hands the lease off. */
    async stop(): Promise<void> {
        this.removeListeners.forEach(remove => remove());
        this.stopping.abort();
        this.execution.abort();
        this.wake();
        await this.loop;
        await this.renewal;
        try {
            await this.parts.lease.release(monotonicNow() >= this.unsettledUntil);
        }
        catch (error) {
            this.parts.logger.warn("could not hand off the placement lease", { error: String(error) });
        }
    }

    private startOver(): void {
        this.changed = true;
        this.execution.abort();
        this.wake();
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                if (this.parts.lease.isHeld) {
                    await this.placeOnce();
                    await this.waitForChange(observeIntervalMilliseconds);
                }
                else {
                    await this.seekLease();
                }
            }
            catch (error) {
                this.parts.logger.error("placement failed and starts over", { error: String(error) });
                await this.waitForChange(observeIntervalMilliseconds);
            }
        }
    }

    private async seekLease(): Promise<void> {
        if (await this.parts.lease.tryAcquire()) {
            this.known.clear();
            // Loads of the holder before may still be reading from the weight store.
            this.pacer.holdBack(this.largestLoadMilliseconds());
            return;
        }
        const wait = leaseRetryMilliseconds * (0.5 + this.parts.random.next());
        await delay(wait, this.stopping.signal);
    }

    /** A deadline that the largest load meets. */
    private longestOrderMilliseconds(): number {
        return orderTimeoutMilliseconds + this.largestLoadMilliseconds() * longestLoadAllowance;
    }

    private largestLoadMilliseconds(): number {
        const { models, backendServerClasses } = this.parts.configuration.current;
        const memory = Math.max(0, ...[...backendServerClasses.values()].map(serverClass => serverClass.memoryBytes));
        const bytes = [...models.values()].map(model => Math.min(memory, model.layerTotal * model.layerBytes));
        return this.pacer.loadMilliseconds(Math.max(0, ...bytes));
    }

    private async renewWhileHeld(): Promise<void> {
        const { lease } = this.parts;
        while (!this.stopping.signal.aborted) {
            await delay(leaseRenewMilliseconds, this.stopping.signal);
            if (lease.fencingNumber !== undefined && !await lease.renew()) {
                this.execution.abort();
            }
        }
    }

    private async placeOnce(): Promise<void> {
        this.changed = false;
        this.execution = new AbortController();
        const { signal } = this.execution;
        const { configuration, fleet, lease, logger } = this.parts;
        const { current } = configuration;
        this.pacer.setRate(current.weightStore.bytesPerSecond);
        await lease.allowOrderTime(this.longestOrderMilliseconds());
        const servers = await this.known.refresh(fleet.backendServers(), id => fleet.isLeaving(id));
        if (lease.fencingNumber !== undefined && this.known.highestFencingNumber > lease.fencingNumber) {
            await lease.raiseAbove(this.known.highestFencingNumber);
        }
        const view = await this.planFor(servers);
        this.lastView = view;
        this.logDecision(view);
        if (view.transition.steps.length === 0 || this.stopping.signal.aborted) {
            return;
        }
        const executor = new TransitionExecutor(
            this.sender,
            logger,
            (id, report) =>
                this.known.note(view.servers.find(server => server.description.id === id)!.description, report),
        );
        const result = await executor.execute(view.transition, servers, current.models, signal);
        if (result.unreachable.length > 0) {
            this.unsettledUntil = monotonicNow() + this.parts.lease.longestOrderMilliseconds;
        }
        this.logResult(result);
    }

    private async planFor(servers: readonly PlacementServer[]): Promise<PlacementView> {
        const { current } = this.parts.configuration;
        const input: PlacementInput = {
            configurationVersion: current.version,
            servers,
            models: current.models,
            demand: this.parts.fleet.demand(),
            topology: current.topology,
        };
        const startedAt = monotonicNow();
        const plan = await this.planner.plan(input);
        const transition = await runInSlices(planTransition(servers, plan.assignments, current.models));
        this.parts.metrics.timing("pomelostall.placement.planning", monotonicNow() - startedAt);
        return { servers, input, plan, transition };
    }

    private logDecision({ plan, transition }: PlacementView): void {
        const { lease, logger, metrics } = this.parts;
        metrics.gauge("pomelostall.placement.demand_multiple", plan.demandMultiple);
        metrics.gauge("pomelostall.placement.open_steps", transition.steps.length);
        const chosen = transition.steps.length === 0
            ? "nothing to change"
            : `${transition.steps.length} orders to ${new Set(transition.steps.map(step => step.backendServer)).size} `
                + "backend servers";
        const line = `${plan.configurationVersion} ${chosen} ${plan.reason} ${transition.blocked.length}`;
        if (line === this.loggedDecision) {
            return;
        }
        this.loggedDecision = line;
        logger.decision({
            kind: "placement",
            chosen,
            over: plan.capacities.map(capacity => capacity.model),
            reason: plan.reason,
            configurationVersion: plan.configurationVersion,
            fields: {
                fencingNumber: lease.fencingNumber,
                movedBytes: plan.movedBytes,
                demandMultiple: plan.demandMultiple,
                boundDemandMultiple: plan.boundDemandMultiple,
                unplaced: plan.unplaced,
                blocked: transition.blocked.length,
            },
        });
    }

    private logResult(result: ExecutionResult): void {
        const { logger } = this.parts;
        if (result.openSteps > 0) {
            logger.warn("placement orders are left open and are planned anew", { ...result });
            return;
        }
        logger.info("placement orders are carried out", { completedSteps: result.completedSteps });
    }

    private async waitForChange(milliseconds: number): Promise<void> {
        const wait = new AbortController();
        this.wake = () => wait.abort();
        if (this.changed) {
            // A short wait, so that changes that come together are planned for together.
            await delay(orderRetryMilliseconds, this.stopping.signal);
        }
        else if (!this.stopping.signal.aborted) {
            await delay(milliseconds, wait.signal);
        }
    }
}
