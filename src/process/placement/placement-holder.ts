/**
 * The placement holder: while this router has the placement lease, it reads the fleet's holdings, plans, and sends the
 * orders of the plan. It plans again whenever the fleet or the configuration changes. Without the lease, it tries to
 * acquire the lease and sends no orders; requests are still routed to the layers that are loaded.
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
    longestOrderLoadFactor,
    orderRetryMilliseconds,
    orderTimeoutMilliseconds,
    planningIntervalMilliseconds,
} from "./constants.js";
import { HoldingsCache } from "./holdings-cache.js";
import { OrderSender } from "./order-sender.js";
import type { PlacementLease } from "./placement-lease.js";
import { PlacementPlanner } from "./placement-planner.js";
import { runInSlices } from "./time-slices.js";
import { type ExecutionResult, TransitionExecutor } from "./transition-executor.js";
import { planTransition, type Transition } from "./transition.js";
import type { PlacementDemand, PlacementInput, PlacementPlan, PlacementServer } from "./types.js";
import { WeightStoreRateLimiter } from "./weight-store-rate-limiter.js";

/** The holder's view of the fleet. */
export interface PlacementFleet {
    /** Backend servers that are not known to be unreachable. */
    backendServers(): readonly BackendServerDescription[];
    isLeaving(backendServer: string): boolean;
    /** Total demand of all routers. */
    demand(): readonly PlacementDemand[];
    /** Calls the listener when a backend server joins, leaves or fails; returns a function that removes it. */
    onChange(listener: () => void): () => void;
}

export interface PlacementHolderDependencies {
    readonly lease: PlacementLease;
    readonly fleet: PlacementFleet;
    readonly configuration: ConfigurationSource;
    readonly connections: BackendServerConnections;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The fleet as last read by the holder, with the plan and the orders that result from it. */
export interface PlacementView {
    readonly servers: readonly PlacementServer[];
    readonly input: PlacementInput;
    readonly plan: PlacementPlan;
    readonly transition: Transition;
}

export class PlacementHolder implements ManagedComponent {
    readonly name = "placement holder";
    private readonly planner = new PlacementPlanner();
    private readonly weightStoreLimiter: WeightStoreRateLimiter;
    private readonly sender: OrderSender;
    private readonly holdingsCache: HoldingsCache;
    private readonly stopping = new AbortController();
    /** Aborts the current planning cycle's orders. */
    private execution = new AbortController();
    private interruptWait: () => void = () => undefined;
    private replanRequested = false;
    /** Until this time, an order that was not answered may still take effect. */
    private unansweredOrdersUntil = 0;
    private planningLoop: Promise<void> = Promise.resolve();
    private renewalLoop: Promise<void> = Promise.resolve();
    private readonly removeListeners: (() => void)[] = [];
    private lastView: PlacementView | undefined;
    private lastLoggedDecision = "";

    constructor(private readonly dependencies: PlacementHolderDependencies) {
        const { lease, connections, logger, metrics, configuration } = dependencies;
        this.weightStoreLimiter = new WeightStoreRateLimiter(configuration.current.weightStore.bytesPerSecond);
        this.sender = new OrderSender(lease, connections, this.weightStoreLimiter, logger, metrics);
        this.holdingsCache = new HoldingsCache(server => this.sender.readHoldings(server));
    }

    /** The last view while this router is the holder; undefined otherwise. */
    get view(): PlacementView | undefined {
        return this.dependencies.lease.isHeld ? this.lastView : undefined;
    }

    get lease(): PlacementLease {
        return this.dependencies.lease;
    }

    async start(): Promise<void> {
        const replan = () => this.requestReplan();
        this.removeListeners.push(this.dependencies.fleet.onChange(replan));
        this.removeListeners.push(this.dependencies.configuration.onChange(replan));
        this.planningLoop = this.run();
        this.renewalLoop = this.renewWhileHeld();
    }

    /** Sends no further orders, waits for those in progress, and releases the lease. */
    async stop(): Promise<void> {
        this.removeListeners.forEach(remove => remove());
        this.stopping.abort();
        this.execution.abort();
        this.interruptWait();
        await this.planningLoop;
        await this.renewalLoop;
        try {
            await this.dependencies.lease.release(monotonicNow() >= this.unansweredOrdersUntil);
        }
        catch (error) {
            this.dependencies.logger.warn("could not release the placement lease; it remains until it expires", {
                error: String(error),
            });
        }
    }

    private requestReplan(): void {
        this.replanRequested = true;
        this.execution.abort();
        this.interruptWait();
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            try {
                if (this.dependencies.lease.isHeld) {
                    await this.runPlacementCycle();
                    await this.waitForChange(planningIntervalMilliseconds);
                }
                else {
                    await this.tryBecomeHolder();
                }
            }
            catch (error) {
                this.dependencies.logger.error("placement cycle failed; retrying", { error: String(error) });
                await this.waitForChange(planningIntervalMilliseconds);
            }
        }
    }

    private async tryBecomeHolder(): Promise<void> {
        if (await this.dependencies.lease.tryAcquire()) {
            this.holdingsCache.clear();
            // Loads of the previous holder may still be reading from the weight store.
            this.weightStoreLimiter.delayNextLoad(this.largestLoadMilliseconds());
            return;
        }
        const wait = leaseRetryMilliseconds * (0.5 + this.dependencies.random.next());
        await delay(wait, this.stopping.signal);
    }

    /** An order timeout that is long enough for the largest load. */
    private longestOrderMilliseconds(): number {
        return orderTimeoutMilliseconds + this.largestLoadMilliseconds() * longestOrderLoadFactor;
    }

    private largestLoadMilliseconds(): number {
        const { models, backendServerClasses } = this.dependencies.configuration.current;
        const memory = Math.max(0, ...[...backendServerClasses.values()].map(serverClass => serverClass.memoryBytes));
        const bytes = [...models.values()].map(model => Math.min(memory, model.layerTotal * model.layerBytes));
        return this.weightStoreLimiter.loadMilliseconds(Math.max(0, ...bytes));
    }

    private async renewWhileHeld(): Promise<void> {
        const { lease } = this.dependencies;
        while (!this.stopping.signal.aborted) {
            await delay(leaseRenewMilliseconds, this.stopping.signal);
            if (lease.fencingNumber !== undefined && !await lease.renew()) {
                this.execution.abort();
            }
        }
    }

    private async runPlacementCycle(): Promise<void> {
        this.replanRequested = false;
        this.execution = new AbortController();
        const { signal } = this.execution;
        const { configuration, fleet, lease, logger } = this.dependencies;
        const { current } = configuration;
        this.weightStoreLimiter.setRate(current.weightStore.bytesPerSecond);
        await lease.raiseLongestOrder(this.longestOrderMilliseconds());
        const servers = await this.holdingsCache.refresh(fleet.backendServers(), id => fleet.isLeaving(id));
        if (lease.fencingNumber !== undefined && this.holdingsCache.highestFencingNumber > lease.fencingNumber) {
            await lease.raiseFencingNumberAbove(this.holdingsCache.highestFencingNumber);
        }
        const view = await this.createView(servers);
        this.lastView = view;
        this.logDecision(view);
        if (view.transition.steps.length === 0 || this.stopping.signal.aborted) {
            return;
        }
        const executor = new TransitionExecutor(
            this.sender,
            logger,
            (id, report) =>
                this.holdingsCache.record(
                    view.servers.find(server => server.description.id === id)!.description,
                    report,
                ),
        );
        const result = await executor.execute(view.transition, servers, current.models, signal);
        if (result.unreachable.length > 0) {
            this.unansweredOrdersUntil = monotonicNow() + this.dependencies.lease.longestOrderMilliseconds;
        }
        this.logResult(result);
    }

    private async createView(servers: readonly PlacementServer[]): Promise<PlacementView> {
        const { current } = this.dependencies.configuration;
        const input: PlacementInput = {
            configurationVersion: current.version,
            servers,
            models: current.models,
            demand: this.dependencies.fleet.demand(),
            topology: current.topology,
        };
        const startedAt = monotonicNow();
        const plan = await this.planner.plan(input);
        const transition = await runInSlices(planTransition(servers, plan.assignments, current.models));
        this.dependencies.metrics.timing("pomelostall.placement.planning", monotonicNow() - startedAt);
        return { servers, input, plan, transition };
    }

    private logDecision({ plan, transition }: PlacementView): void {
        const { lease, logger, metrics } = this.dependencies;
        metrics.gauge("pomelostall.placement.demand_multiple", plan.demandMultiple);
        metrics.gauge("pomelostall.placement.open_steps", transition.steps.length);
        const chosen = transition.steps.length === 0
            ? "nothing to change"
            : `${transition.steps.length} orders to ${new Set(transition.steps.map(step => step.backendServer)).size} `
                + "backend servers";
        const line = `${plan.configurationVersion} ${chosen} ${plan.reason} ${transition.blocked.length}`;
        if (line === this.lastLoggedDecision) {
            return;
        }
        this.lastLoggedDecision = line;
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
        const { logger } = this.dependencies;
        if (result.openSteps > 0) {
            logger.warn("some placement orders were not completed; planning again", { ...result });
            return;
        }
        logger.info("placement orders completed", { completedSteps: result.completedSteps });
    }

    private async waitForChange(milliseconds: number): Promise<void> {
        const wait = new AbortController();
        this.interruptWait = () => wait.abort();
        if (this.replanRequested) {
            // A short delay, so that changes that arrive together are handled in one planning cycle.
            await delay(orderRetryMilliseconds, this.stopping.signal);
        }
        else if (!this.stopping.signal.aborted) {
            await delay(milliseconds, wait.signal);
        }
    }
}
