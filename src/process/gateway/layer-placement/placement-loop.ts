/**
 * Reconciliation loop of layer placement: plans the layers of every model after each change of the registry and at a
 * fixed interval, and sends the engines orders for the changes. Layers count as held only when the engine itself has
 * confirmed them. Only the placement leader sends orders; it also sends the state of the engines to the other routers
 * in notices, so that these need not wait for the registry.
 */
import { monotonicNow } from "../../../common/clock.js";
import type { FailureBoundary, FailureReporter } from "../../../common/failure-boundary.js";
import type { ManagedComponent } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { EngineProfile, GatewayService } from "../../../domain/gateway/configuration.js";
import type { ByCustomer, NoticeSender, RetryGrants, ServerNotice } from "../../../domain/gateway/placement-notice.js";
import type { ServerControl } from "../../../domain/gateway/server-control.js";
import {
    formatSocketAddress,
    isSameStart,
    OrderOutcome,
    type ServerEntry,
} from "../../../domain/gateway/server-entry.js";
import { formatLayerRange, isWithinModel, layerCount, type LayerRange } from "../../../domain/layers.js";
import type { FleetShares } from "../../customer-shares/fleet-shares.js";
import type { ActiveConfiguration } from "../active-configuration.js";
import { type FleetLoad, noticeIntervalMilliseconds } from "../fleet-load.js";
import type { FleetRetryBudget } from "../fleet-retry-budget.js";
import type { ServerExclusions } from "../server-exclusions.js";
import type { ServerRegistry } from "../server-registry.js";
import type { ServerSlowdowns } from "../server-slowdowns.js";
import type { StoreEra } from "../store-era.js";
import { EngineState } from "./engine-state.js";
import { layersThatFit, minimumMemoryReserve, preferredMemoryReserve } from "./layer-capacity.js";
import type { StandbyPolicy } from "./standby-servers.js";
import type { LayerPlanner, PlannedServer } from "./types.js";

/** Interval at which pending orders, excluded engines and missing layers are checked. */
const reconcileIntervalMilliseconds = 250;
/** Changes in quick succession share a notice; the first one is sent at once. */
const minimumNoticeIntervalMilliseconds = 250;
/** While no engine holds layers, planning starts once the registry has not changed for this long. */
const initialQuietMilliseconds = 1_500;
const millisecondsPerSecond = 1_000;

export interface LeadershipSource {
    readonly isLeader: boolean;
}

export interface PlacementLoopDependencies {
    readonly registry: ServerRegistry;
    readonly configuration: ActiveConfiguration;
    readonly leadership: LeadershipSource;
    readonly storeEra: Pick<StoreEra, "stated">;
    readonly exclusions: ServerExclusions;
    readonly planner: LayerPlanner;
    readonly standbyPolicy: StandbyPolicy;
    readonly control: ServerControl;
    readonly notices: NoticeSender;
    readonly fleetLoad: FleetLoad;
    readonly slowdowns: ServerSlowdowns;
    readonly retries: FleetRetryBudget;
    /** Applies this router's own part of the retry budget. */
    applyGrants(grants: RetryGrants): void;
    readonly shares: FleetShares;
    /** Applies the customers' limits to this router; undefined leaves the last ones in force. */
    applyCustomerLimits(limits: ByCustomer<number> | undefined): void;
    /** Name of this router as the sender of notices. */
    readonly routerName: string;
    readonly failures: FailureReporter;
    readonly logger: Logger;
}

export class PlacementLoop implements ManagedComponent {
    readonly name = "layer placement";
    private readonly engineStates = new Map<string, EngineState>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private lastChangeAt = monotonicNow();
    private lastNoticeAt = -Infinity;
    private noticeTimer: ReturnType<typeof setTimeout> | undefined;
    private reconcileScheduled = false;
    private unsubscribe: (() => void) | undefined;

    private readonly boundary: FailureBoundary;

    constructor(private readonly dependencies: PlacementLoopDependencies) {
        this.boundary = dependencies.failures.createBoundary(this.name);
    }

    async start(): Promise<void> {
        this.unsubscribe = this.dependencies.registry.onChange(() => {
            this.lastChangeAt = monotonicNow();
            this.scheduleReconcile();
        });
        this.timer = setInterval(this.boundary.wrap(() => this.reconcile()), reconcileIntervalMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        clearTimeout(this.noticeTimer);
        this.unsubscribe?.();
    }

    /** Changes of the registry arrive in batches, each of which needs only one pass. */
    private scheduleReconcile(): void {
        if (this.reconcileScheduled) {
            return;
        }
        this.reconcileScheduled = true;
        queueMicrotask(this.boundary.wrap(() => {
            this.reconcileScheduled = false;
            this.reconcile();
        }));
    }

    private reconcile(): void {
        if (!this.dependencies.leadership.isLeader) {
            this.engineStates.clear();
            return;
        }
        const present = new Set<string>();
        for (const service of this.dependencies.configuration.current?.services.values() ?? []) {
            if (service.engine !== undefined) {
                this.reconcileService(service, service.engine).forEach(id => present.add(id));
            }
        }
        [...this.engineStates.keys()].filter(id => !present.has(id)).forEach(id => this.engineStates.delete(id));
        // Passes run up to a few milliseconds late, so the pass that is closest to the interval sends the notice.
        if (monotonicNow() - this.lastNoticeAt >= noticeIntervalMilliseconds - reconcileIntervalMilliseconds / 2) {
            this.sendNotice();
        }
    }

    /** Requests due reports and plans the service's layers; returns the IDs of the service's servers. */
    private reconcileService(service: GatewayService, engine: EngineProfile): string[] {
        const servers = this.dependencies.registry.registered(service.name);
        const states = servers.map(server => this.stateOf(server));
        states.filter(state => state.needsReport(this.dependencies.exclusions.isExcluded(state.server))).forEach(
            state => this.boundary.run(() => this.requestReport(state, engine, service.healthPath)),
        );
        const noLayersHeld = states.every(state => state.expectedLayers === undefined);
        const stable = this.dependencies.registry.stable
            && (!noLayersHeld || monotonicNow() - this.lastChangeAt >= initialQuietMilliseconds);
        if (stable) {
            const plannable = states.filter(state =>
                state.usable && isWithinModel(state.expectedLayers, engine.layerCount)
            );
            this.planService(plannable, engine);
        }
        return servers.map(({ id }) => id);
    }

    private planService(states: readonly EngineState[], engine: EngineProfile): void {
        const holders = states.flatMap(({ server: { id, availabilityZone }, expectedLayers: range }) =>
            range === undefined ? [] : [{ id, availabilityZone, range }]
        );
        const standby = this.dependencies.standbyPolicy.findStandbyServers(holders, engine.layerCount);
        const planned = states.flatMap(state => this.toPlannedServer(state, engine, standby.has(state.server.id)));
        for (const [id, range] of this.dependencies.planner.plan(planned, engine.layerCount)) {
            this.boundary.run(() => this.sendOrder(this.engineStates.get(id)!, range, engine));
        }
    }

    private stateOf(server: ServerEntry): EngineState {
        let state = this.engineStates.get(server.id);
        if (state === undefined || !isSameStart(state.server, server)) {
            state = new EngineState(server, this.dependencies.logger);
            this.engineStates.set(server.id, state);
        }
        state.updateEntry(server);
        return state;
    }

    private async requestReport(
        state: EngineState,
        engine: EngineProfile,
        healthPath: string | undefined,
    ): Promise<void> {
        state.markReportRequested();
        const usableBefore = state.usable;
        const layersBefore = state.servableLayers;
        try {
            const report = await this.dependencies.control.readReport(state.server);
            // An engine without free slots may reject the health check like any other request; a paused one wants none.
            const mayBeChecked = report.requests < engine.slots
                && !this.dependencies.exclusions.isPaused(state.server);
            if (healthPath !== undefined && mayBeChecked) {
                state.applyHealth(await this.dependencies.control.isHealthy(state.server, healthPath));
            }
            state.applyReport(report);
        }
        catch (error) {
            state.applyReportFailure(String(error));
        }
        if (state.usable !== usableBefore || state.servableLayers !== layersBefore) {
            this.publishChange();
        }
    }

    private async sendOrder(state: EngineState, range: LayerRange, engine: EngineProfile): Promise<void> {
        const loadMilliseconds = (engine.loadSeconds * millisecondsPerSecond * layerCount(range)) / engine.layerCount;
        if (!state.beginOrder(range, loadMilliseconds)) {
            return;
        }
        const { server } = state;
        const before = state.servableLayers;
        try {
            const report = await this.dependencies.control.readReport(server);
            state.applyReport(report);
            if (!this.dependencies.leadership.isLeader || !state.isOrdered(range) || report.busy) {
                state.cancelOrder(range);
                return;
            }
            const outcome = await this.dependencies.control.placeLayers(server, range, report.ordersBegun);
            this.logOrder(state, range, outcome, before, report.ordersBegun);
            state.applyOutcome(range, outcome);
            if (outcome === OrderOutcome.begun && before !== undefined) {
                this.publishChange();
            }
        }
        catch (error) {
            // The order may still be carried out; later reports show whether it was.
            this.dependencies.logger.warn(
                "report request or layer order failed; waiting for the engine's next reports",
                {
                    server: server.id,
                    error: String(error),
                },
            );
        }
    }

    private logOrder(
        state: EngineState,
        range: LayerRange,
        outcome: OrderOutcome,
        before: LayerRange | undefined,
        ordersBegun: number,
    ): void {
        this.dependencies.logger.decision({
            kind: "place-layers",
            chosen: state.server.id,
            over: [],
            reason: `layers ${formatLayerRange(range)}`,
            configurationVersion: this.dependencies.configuration.current?.version ?? 0,
            fields: { outcome, before: before === undefined ? undefined : formatLayerRange(before), ordersBegun },
        });
    }

    /** Applies a changed engine state to this router at once, and sends it to the others with the next notice. */
    private publishChange(): void {
        const wait = this.lastNoticeAt + minimumNoticeIntervalMilliseconds - monotonicNow();
        if (wait <= 0) {
            this.sendNotice();
            return;
        }
        this.dependencies.registry.applyNotice(this.listCorrections());
        this.noticeTimer ??= setTimeout(this.boundary.wrap(() => this.sendNotice()), wait);
    }

    /** Sends the engine states that differ from the registry to all routers, together with the fleet's load. */
    private sendNotice(): void {
        clearTimeout(this.noticeTimer);
        this.noticeTimer = undefined;
        if (!this.dependencies.leadership.isLeader) {
            return;
        }
        this.lastNoticeAt = monotonicNow();
        const { registry, fleetLoad, retries, shares, notices, routerName: sender } = this.dependencies;
        const servers = this.listCorrections();
        registry.applyNotice(servers);
        const slowdowns = this.dependencies.slowdowns.published;
        const retryGrants = retries.computeGrants();
        this.dependencies.applyGrants(retryGrants);
        const customerLimits = shares.computeLimits();
        this.dependencies.applyCustomerLimits(customerLimits);
        notices.send(
            router => ({
                sender,
                storeEra: this.dependencies.storeEra.stated,
                servers,
                otherLoads: fleetLoad.totalExcluding(formatSocketAddress(router)),
                otherWork: fleetLoad.workExcluding(formatSocketAddress(router)),
                retryGrants: retries.grantsFor(formatSocketAddress(router), retryGrants),
                slowdowns,
                customerLimits,
            }),
            (router, { loads, work, retryUsage, customerDemands }) => {
                fleetLoad.recordRouterLoads(formatSocketAddress(router), loads, work);
                retries.recordReport(formatSocketAddress(router), retryUsage);
                shares.recordReport(customerDemands);
            },
        );
    }

    private listCorrections(): ServerNotice[] {
        return [...this.engineStates.values()]
            .filter(state => state.differsFromRegistry)
            .map(({ server, servableLayers, usable }) => ({
                id: server.id,
                bornAt: server.bornAt,
                layers: servableLayers,
                lost: !usable,
            }));
    }

    /** Empty for a server whose accelerator kind the engine profile does not list. */
    private toPlannedServer(state: EngineState, engine: EngineProfile, standby: boolean): PlannedServer[] {
        const kind = engine.kinds.get(state.server.kind ?? "");
        if (kind === undefined) {
            return [];
        }
        return [{
            id: state.server.id,
            availabilityZone: state.server.availabilityZone,
            preferredMaximumLayers: layersThatFit(engine, kind, preferredMemoryReserve),
            maximumLayers: layersThatFit(engine, kind, minimumMemoryReserve),
            stepFactor: kind.stepFactor,
            standby,
            runningTokens: this.dependencies.fleetLoad.tokens(state.server.id),
            orderBlocked: state.orderBlocked,
            range: state.expectedLayers,
        }];
    }
}
