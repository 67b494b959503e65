/**
 * Keeps the layers of every model where the planner wants them: plans after each change of what is known, orders what is
 * missing, and counts on nothing that an engine has not itself confirmed. Only the router that leads placement orders; it
 * tells the others at once what engines hold, so that they need not wait for the registry.
 */
import { monotonicNow } from "../../../common/clock.js";
import type { Managed } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { EngineProfile, GatewayService } from "../../../domain/gateway/configuration.js";
import type { NoticeSender, ServerNotice } from "../../../domain/gateway/placement-notice.js";
import type { ServerControl } from "../../../domain/gateway/server-control.js";
import { formatSocketAddress, OrderOutcome, type ServerEntry } from "../../../domain/gateway/server-entry.js";
import { formatLayerRange, layerCount, type LayerRange } from "../../../domain/layers.js";
import type { ConfigurationInForce } from "../configuration-in-force.js";
import type { FleetLoad } from "../fleet-load.js";
import type { ServerRegistry } from "../server-registry.js";
import type { ServerSuspicions } from "../server-suspicions.js";
import { EngineView } from "./engine-view.js";
import { layersThatFit } from "./layer-capacity.js";
import { findStandbyServers } from "./standby-servers.js";
import type { LayerPlanner, PlannedServer } from "./types.js";

/**
 * Memory that layers leave to requests: with it a zone's path holds the tokens of its share of the peak, 20 requests a
 * second of 930 tokens for 3 s (docs/design/platform.md).
 */
const comfortableReserve = 0.27;
/** Memory that must be left for a request to run at all: a few prompts of usual size. */
const tightReserve = 0.06;
/** How often the loop looks at orders and suspects. */
const reviewMilliseconds = 250;
/** Every so many reviews the leader repeats what it knows to the other routers. */
const reviewsPerNotice = 2;
/** The registry is taken as complete once it has not changed for this long at a first start. */
const settleMilliseconds = 1_500;
const millisecondsPerSecond = 1_000;

export interface LeadershipSource {
    readonly leads: boolean;
}

export interface PlacementLoopParts {
    readonly registry: ServerRegistry;
    readonly configuration: ConfigurationInForce;
    readonly leadership: LeadershipSource;
    readonly suspicions: ServerSuspicions;
    readonly planner: LayerPlanner;
    readonly control: ServerControl;
    readonly notices: NoticeSender;
    readonly fleetLoad: FleetLoad;
    /** Names this router in notices. */
    readonly routerName: string;
    readonly logger: Logger;
}

export class PlacementLoop implements Managed {
    readonly name = "layer placement";
    private readonly views = new Map<string, EngineView>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private lastChangeAt = monotonicNow();
    private reviews = 0;
    private unsubscribe: (() => void) | undefined;

    constructor(private readonly parts: PlacementLoopParts) {}

    async start(): Promise<void> {
        this.unsubscribe = this.parts.registry.onChange(() => {
            this.lastChangeAt = monotonicNow();
            this.review();
        });
        this.timer = setInterval(() => this.review(), reviewMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.unsubscribe?.();
    }

    private review(): void {
        if (!this.parts.leadership.leads) {
            this.views.clear();
            return;
        }
        this.reviews++;
        const present = new Set<string>();
        for (const service of this.parts.configuration.current?.services.values() ?? []) {
            if (service.engine !== undefined) {
                this.reviewService(service, service.engine).forEach(id => present.add(id));
            }
        }
        [...this.views.keys()].filter(id => !present.has(id)).forEach(id => this.views.delete(id));
        if (this.reviews % reviewsPerNotice === 0) {
            this.sendNotice();
        }
    }

    /** IDs of the service's servers. */
    private reviewService(service: GatewayService, engine: EngineProfile): string[] {
        const servers = this.parts.registry.registered(service.name);
        const views = servers.map(server => this.viewOf(server));
        views.filter(view => view.needsReport(this.parts.suspicions.isSuspected(view.server.id))).forEach(view =>
            void this.askForReport(view, engine, service.healthPath)
        );
        const nothingHeld = views.every(view => view.range === undefined);
        const settled = this.parts.registry.settled
            && (!nothingHeld || monotonicNow() - this.lastChangeAt >= settleMilliseconds);
        if (settled) {
            this.planService(views.filter(view => view.usable), engine);
        }
        return servers.map(({ id }) => id);
    }

    private planService(views: readonly EngineView[], engine: EngineProfile): void {
        const holders = views.flatMap(({ server: { id, availabilityZone }, range }) =>
            range === undefined ? [] : [{ id, availabilityZone, range }]
        );
        const standby = findStandbyServers(holders, engine.layerCount);
        const planned = views.flatMap(view => this.describe(view, engine, standby.has(view.server.id)));
        for (const [id, range] of this.parts.planner.plan(planned, engine.layerCount)) {
            void this.order(this.views.get(id)!, range, engine);
        }
    }

    private viewOf(server: ServerEntry): EngineView {
        let view = this.views.get(server.id);
        if (view === undefined || view.server.bornAt !== server.bornAt) {
            view = new EngineView(server, this.parts.logger);
            this.views.set(server.id, view);
        }
        view.updateEntry(server);
        return view;
    }

    private async askForReport(view: EngineView, engine: EngineProfile, healthPath: string | undefined): Promise<void> {
        view.reportAsked();
        const usableBefore = view.usable;
        const rangeBefore = view.holds;
        try {
            const report = await this.parts.control.readReport(view.server);
            // A full engine may refuse the health check like any other request.
            if (healthPath !== undefined && report.requests < engine.slots) {
                view.applyHealth(await this.parts.control.isHealthy(view.server, healthPath));
            }
            view.applyReport(report);
        }
        catch (error) {
            view.reportFailed(String(error));
        }
        if (view.usable !== usableBefore || view.holds !== rangeBefore) {
            this.sendNotice();
        }
    }

    private async order(view: EngineView, range: LayerRange, engine: EngineProfile): Promise<void> {
        const loadMilliseconds = (engine.loadSeconds * millisecondsPerSecond * layerCount(range)) / engine.layerCount;
        if (!view.beginOrder(range, loadMilliseconds)) {
            return;
        }
        const { server } = view;
        const before = view.holds;
        try {
            const report = await this.parts.control.readReport(server);
            view.applyReport(report);
            if (!this.parts.leadership.leads || !view.isOrdered(range) || report.busy) {
                view.cancelOrder(range);
                return;
            }
            const outcome = await this.parts.control.placeLayers(server, range, report.ordersBegun);
            this.logOrder(view, range, outcome, before, report.ordersBegun);
            view.applyOutcome(range, outcome);
            if (outcome === OrderOutcome.begun && before !== undefined) {
                this.sendNotice();
            }
        }
        catch (error) {
            // Without an answer the order may still be carried out; reports tell.
            this.parts.logger.warn("order without answer", { server: server.id, error: String(error) });
        }
    }

    private logOrder(
        view: EngineView,
        range: LayerRange,
        outcome: OrderOutcome,
        before: LayerRange | undefined,
        ordersBegun: number,
    ): void {
        this.parts.logger.decision({
            kind: "place-layers",
            chosen: view.server.id,
            over: [],
            reason: `layers ${formatLayerRange(range)}`,
            configurationVersion: this.parts.configuration.current?.version ?? 0,
            fields: { outcome, before: before === undefined ? undefined : formatLayerRange(before), ordersBegun },
        });
    }

    /** Tells all routers of servers whose state differs from the registry's, and of the fleet's load. */
    private sendNotice(): void {
        const servers: ServerNotice[] = [...this.views.values()]
            .filter(view => view.differsFromRegistry)
            .map(({ server, holds, usable }) => ({
                id: server.id,
                bornAt: server.bornAt,
                layers: holds,
                lost: !usable,
            }));
        const { registry, fleetLoad, notices, routerName: sender } = this.parts;
        registry.applyNotice(servers);
        notices.send(
            router => ({ sender, servers, otherLoads: fleetLoad.sumWithout(formatSocketAddress(router)) }),
            (router, loads) => fleetLoad.notePart(formatSocketAddress(router), loads),
        );
    }

    private describe(view: EngineView, engine: EngineProfile, standby: boolean): PlannedServer[] {
        const kind = engine.kinds.get(view.server.kind ?? "");
        if (kind === undefined) {
            return [];
        }
        return [{
            id: view.server.id,
            availabilityZone: view.server.availabilityZone,
            comfortableLayers: layersThatFit(engine, kind, comfortableReserve),
            maximumLayers: layersThatFit(engine, kind, tightReserve),
            stepFactor: kind.stepFactor,
            standby,
            runningTokens: this.parts.fleetLoad.tokens(view.server.id),
            ordered: view.ordering,
            range: view.range,
        }];
    }
}
