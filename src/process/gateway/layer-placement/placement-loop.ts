/**
 * Keeps the layers of every model where the planner wants them: plans after each change of the registry, orders what is
 * missing, and counts on nothing that an engine has not itself confirmed. Only the router that leads placement orders.
 */
import { monotonicNow } from "../../../common/clock.js";
import type { Managed } from "../../../common/life-cycle.js";
import type { Logger } from "../../../common/logger.js";
import type { EngineProfile } from "../../../domain/gateway/configuration.js";
import type { ServerControl } from "../../../domain/gateway/server-control.js";
import { OrderOutcome, type ServerEntry } from "../../../domain/gateway/server-entry.js";
import { formatLayerRange, layerCount, type LayerRange, layerRangesEqual } from "../../../domain/layers.js";
import type { ConfigurationInForce } from "../configuration-in-force.js";
import type { ServerRegistry } from "../server-registry.js";
import { layersThatFit } from "./layer-capacity.js";
import type { LayerPlanner, PlannedServer } from "./types.js";

/**
 * Memory that layers leave to requests: with it a zone's path holds the tokens of its share of the peak, 20 requests a
 * second of 930 tokens for 3 s (docs/design/platform.md).
 */
const comfortableReserve = 0.27;
/** Memory that must be left for a request to run at all: a few prompts of usual size. */
const tightReserve = 0.06;
/** How often the loop looks for orders without effect. */
const reviewMilliseconds = 500;
/** The registry is taken as complete once it has not changed for this long at a first start. */
const settleMilliseconds = 1_500;
/** An order is asked about when its load takes this much longer than expected. */
const orderSlackMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

export interface LeadershipSource {
    readonly leads: boolean;
}

interface PendingOrder {
    readonly range: LayerRange;
    /** When the range should be held. */
    readonly expectedAt: number;
    readonly bornAt: number | undefined;
}

export class PlacementLoop implements Managed {
    readonly name = "layer placement";
    private readonly pending = new Map<string, PendingOrder>();
    private timer: ReturnType<typeof setInterval> | undefined;
    private lastChangeAt = monotonicNow();
    private unsubscribe: (() => void) | undefined;

    constructor(
        private readonly registry: ServerRegistry,
        private readonly configuration: ConfigurationInForce,
        private readonly leadership: LeadershipSource,
        private readonly planner: LayerPlanner,
        private readonly control: ServerControl,
        private readonly logger: Logger,
    ) {}

    async start(): Promise<void> {
        this.unsubscribe = this.registry.onChange(() => {
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
        if (!this.leadership.leads) {
            this.pending.clear();
            return;
        }
        for (const service of this.configuration.current?.services.values() ?? []) {
            if (service.engine !== undefined) {
                this.reviewService(service.name, service.engine);
            }
        }
    }

    private reviewService(service: string, engine: EngineProfile): void {
        const servers = this.registry.active(service);
        this.settlePending(servers);
        const nothingHeld = servers.every(({ layers }) => layers === undefined) && this.pending.size === 0;
        if (nothingHeld && monotonicNow() - this.lastChangeAt < settleMilliseconds) {
            return;
        }
        const planned = servers.flatMap(server => this.describe(server, engine));
        const changes = this.planner.plan(planned, engine.layerCount);
        for (const [id, range] of changes) {
            const server = servers.find(entry => entry.id === id)!;
            void this.order(server, range, engine);
        }
    }

    /** Forgets orders that have been carried out, whose engine has restarted, or that are long overdue. */
    private settlePending(servers: readonly ServerEntry[]): void {
        const now = monotonicNow();
        for (const [id, order] of this.pending) {
            const server = servers.find(entry => entry.id === id);
            const done = server?.layers !== undefined && layerRangesEqual(server.layers, order.range);
            const overdue = now > order.expectedAt;
            if (server === undefined || done || overdue || server.bornAt !== order.bornAt) {
                this.pending.delete(id);
                if (overdue && !done && server !== undefined) {
                    this.logger.warn("order without effect", { server: id, layers: formatLayerRange(order.range) });
                }
            }
        }
    }

    private describe(server: ServerEntry, engine: EngineProfile): PlannedServer[] {
        const kind = engine.kinds.get(server.kind ?? "");
        if (kind === undefined) {
            return [];
        }
        return [{
            id: server.id,
            availabilityZone: server.availabilityZone,
            comfortableLayers: layersThatFit(engine, kind, comfortableReserve),
            maximumLayers: layersThatFit(engine, kind, tightReserve),
            stepFactor: kind.stepFactor,
            range: this.pending.get(server.id)?.range ?? server.layers,
        }];
    }

    private async order(server: ServerEntry, range: LayerRange, engine: EngineProfile): Promise<void> {
        const loadMilliseconds = (engine.loadSeconds * millisecondsPerSecond * layerCount(range)) / engine.layerCount;
        const expectedAt = monotonicNow() + 2 * loadMilliseconds + orderSlackMilliseconds;
        const order = { range, expectedAt, bornAt: server.bornAt };
        this.pending.set(server.id, order);
        try {
            const report = await this.control.readReport(server);
            if (!this.leadership.leads || this.pending.get(server.id) !== order) {
                return;
            }
            const outcome = await this.control.placeLayers(server, range, report.ordersBegun);
            this.logger.decision({
                kind: "place-layers",
                chosen: server.id,
                over: [],
                reason: `layers ${formatLayerRange(range)}`,
                configurationVersion: this.configuration.current?.version ?? 0,
                fields: {
                    outcome,
                    before: server.layers === undefined ? undefined : formatLayerRange(server.layers),
                    ordersBegun: report.ordersBegun,
                    expectedLoadMilliseconds: Math.round(loadMilliseconds),
                },
            });
            if (outcome === OrderOutcome.conflict || outcome === OrderOutcome.refused) {
                this.pending.delete(server.id);
            }
        }
        catch (error) {
            // Without an answer the order may still be carried out; it stays pending until its load is overdue.
            this.logger.warn("order without answer", { server: server.id, error: String(error) });
        }
    }
}
