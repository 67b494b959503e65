/**
 * Placement holders over the stand-in platform and stand-in engines on one paused clock, with faults of orders and a
 * record of every order, for benchmarks and tests.
 */
import { delay, monotonicNow } from "../src/common/clock.js";
import { type Logger, SilentLogger } from "../src/common/logger.js";
import { SilentMetrics } from "../src/common/metrics.js";
import { SeededRandom } from "../src/common/random.js";
import type { BackendServerConnection } from "../src/domain/backend-connection.js";
import type { BackendServerDescription, Holding } from "../src/domain/backend-server.js";
import type { Configuration, ConfigurationSource } from "../src/domain/configuration.js";
import type { HoldingsReport, OrderReply, PlacementOrder } from "../src/domain/engine-protocol.js";
import { layerCount } from "../src/domain/layers.js";
import type { ModelDescription } from "../src/domain/model.js";
import { coversAllLayers } from "../src/process/placement/pipeline-chains.js";
import { type PlacementFleet, PlacementHolder } from "../src/process/placement/placement-holder.js";
import { PlacementLease } from "../src/process/placement/placement-lease.js";
import type { PlacementDemand } from "../src/process/placement/types.js";
import {
    InProcessBackendServerConnection,
    InProcessStageNetwork,
    StandInEngine,
    WeightStore,
} from "../src/stand-ins/backend-server/index.js";
import { StandInPlatform } from "../src/stand-ins/platform/index.js";
import { fleetTopology } from "./placement-fleet.js";

export interface PlacementSimulationOptions {
    readonly servers: readonly BackendServerDescription[];
    readonly models: readonly ModelDescription[];
    readonly demand: readonly PlacementDemand[];
    readonly storeBytesPerSecond: number;
    /** One size for all models; stand-in engines know only one. */
    readonly layerBytes: number;
    readonly orderCredential?: string;
    readonly logger?: Logger;
}

/** An order as a holder sent it. */
export interface SentOrder {
    readonly at: number;
    readonly backendServer: string;
    readonly router: string;
    readonly order: PlacementOrder;
    readonly bytes: number;
    /** When it reached the engine; undefined if it never did. */
    deliveredAt: number | undefined;
}

/** One router's part in placement. */
export interface SimulatedRouter {
    readonly id: string;
    /** This router's access to the platform, with faults of its own. */
    readonly access: StandInPlatform;
    readonly lease: PlacementLease;
    readonly holder: PlacementHolder;
}

export class PlacementSimulation implements PlacementFleet, ConfigurationSource {
    readonly platform = new StandInPlatform();
    readonly sent: SentOrder[] = [];
    readonly routers: SimulatedRouter[] = [];
    /** Models that had a whole pipeline once and lost it later, with the time. */
    readonly lostModels: string[] = [];
    /** Delay of orders on their way, in milliseconds. */
    orderDelayMilliseconds = 1;
    /** Orders yet to come whose answers never arrive. */
    lostOrderReplies = 0;
    current: Configuration;
    private demands: readonly PlacementDemand[];
    private readonly engines = new Map<string, StandInEngine>();
    private readonly descriptions = new Map<string, BackendServerDescription>();
    private readonly network = new InProcessStageNetwork(fleetTopology);
    private readonly weightStore: WeightStore;
    private readonly fleetListeners = new Set<() => void>();
    private readonly configurationListeners = new Set<(configuration: Configuration) => void>();
    private readonly unloading = new Map<string, Set<string>>();
    private readonly wholeOnce = new Set<string>();

    constructor(private readonly options: PlacementSimulationOptions) {
        this.weightStore = new WeightStore(options.storeBytesPerSecond);
        this.demands = options.demand;
        this.current = createConfiguration(options);
        options.servers.forEach(server => this.addServer(server, []));
    }

    addServer(description: BackendServerDescription, holdings: readonly Holding[]): void {
        const engine = new StandInEngine({
            id: description.id,
            address: description.address,
            location: description,
            class: description.class,
            holdings,
            layerBytes: this.options.layerBytes,
            orderCredential: "credential",
        }, { network: this.network, weightStore: this.weightStore, random: new SeededRandom(1) });
        this.network.add(engine);
        this.engines.set(description.id, engine);
        this.descriptions.set(description.id, description);
        this.fleetListeners.forEach(listener => listener());
    }

    /** Lets a backend server die; the list of servers tells of it at once or, with `silently`, not at all. */
    kill(id: string, silently = false): void {
        this.engines.get(id)?.die();
        if (!silently) {
            this.descriptions.delete(id);
            this.fleetListeners.forEach(listener => listener());
        }
    }

    /** Starts a backend server again, empty. */
    restart(server: BackendServerDescription): void {
        this.engines.get(server.id)?.die();
        const incarnation = (this.descriptions.get(server.id)?.incarnation ?? server.incarnation) + 1;
        this.addServer({ ...server, incarnation }, []);
    }

    engine(id: string): StandInEngine {
        return this.engines.get(id)!;
    }

    addRouter(id: string): SimulatedRouter {
        const access = this.platform.access();
        const logger = this.options.logger ?? new SilentLogger();
        const lease = new PlacementLease(access, { router: id, address: `http://${id}` }, logger, new SilentMetrics());
        const holder = new PlacementHolder({
            lease,
            fleet: this,
            configuration: this,
            connections: { get: backendServer => this.connect(backendServer, id) },
            random: new SeededRandom(this.routers.length + 1),
            logger,
            metrics: new SilentMetrics(),
        });
        const router = { id, access, lease, holder };
        this.routers.push(router);
        return router;
    }

    setDemand(demand: readonly PlacementDemand[]): void {
        this.demands = demand;
    }

    setModels(models: readonly ModelDescription[]): void {
        const byName = new Map(models.map(model => [model.name, model]));
        this.current = { ...this.current, version: this.current.version + 1, models: byName };
        this.configurationListeners.forEach(listener => listener(this.current));
    }

    backendServers(): readonly BackendServerDescription[] {
        return [...this.descriptions.values()];
    }

    isLeaving(): boolean {
        return false;
    }

    demand(): readonly PlacementDemand[] {
        return this.demands;
    }

    onChange(listener: (configuration: Configuration) => void): () => void {
        // One method serves both interfaces: of the fleet's changes and of the configuration's.
        const call = () => listener(this.current);
        this.fleetListeners.add(call);
        this.configurationListeners.add(listener);
        return () => {
            this.fleetListeners.delete(call);
            this.configurationListeners.delete(listener);
        };
    }

    /** What live engines hold and do not unload just now. */
    usableHoldings(): { readonly server: BackendServerDescription; readonly holding: Holding; }[] {
        return [...this.descriptions.values()].flatMap(server => {
            const engine = this.engines.get(server.id)!;
            const unloading = this.unloading.get(server.id);
            return !engine.alive ? [] : engine.holdingsReport().holdings
                .filter(holding => unloading?.has(holdingKey(holding)) !== true)
                .map(holding => ({ server, holding }));
        });
    }

    hasCompletePipeline(model: ModelDescription): boolean {
        const held = this.usableHoldings().filter(({ holding }) => holding.model === model.name);
        const versions = new Set(held.map(({ holding }) => holding.modelVersion));
        return [...versions].some(version =>
            coversAllLayers(
                held.filter(({ holding }) => holding.modelVersion === version).map(({ holding }) => holding.layers),
                model.layerTotal,
            )
        );
    }

    /** Notes models that lost their last whole pipeline. */
    checkWhole(): void {
        for (const model of this.current.models.values()) {
            if (this.hasCompletePipeline(model)) {
                this.wholeOnce.add(model.name);
            }
            else if (this.wholeOnce.delete(model.name)) {
                this.lostModels.push(`${model.name} at ${monotonicNow()}`);
            }
        }
    }

    private connect(backendServer: string, router: string): BackendServerConnection {
        const link = new InProcessBackendServerConnection(this.engines.get(backendServer)!, {
            orderCredential: this.options.orderCredential ?? "credential",
        });
        return {
            backendServer,
            startAttempt: request => link.startAttempt(request),
            sendOrder: order => this.sendOrder(link, backendServer, router, order),
            readHoldings: (): Promise<HoldingsReport> => link.readHoldings(),
            events: link.events,
            close: () => link.close(),
        };
    }

    private async sendOrder(
        link: InProcessBackendServerConnection,
        backendServer: string,
        router: string,
        order: PlacementOrder,
    ): Promise<OrderReply> {
        const { action } = order;
        const bytes = action.kind === "load" ? layerCount(action.layers) * this.options.layerBytes : 0;
        const sent: SentOrder = { at: monotonicNow(), backendServer, router, order, bytes, deliveredAt: undefined };
        this.sent.push(sent);
        const loseAnswer = this.lostOrderReplies > 0;
        this.lostOrderReplies -= loseAnswer ? 1 : 0;
        const flight = Math.min(this.orderDelayMilliseconds, order.timeoutMilliseconds - 1);
        await delay(flight);
        if (monotonicNow() - sent.at >= order.timeoutMilliseconds) {
            return new Promise(() => undefined);
        }
        sent.deliveredAt = monotonicNow();
        const reply = await this.deliver(link, backendServer, order);
        return loseAnswer ? new Promise(() => undefined) : reply;
    }

    private async deliver(
        link: InProcessBackendServerConnection,
        backendServer: string,
        order: PlacementOrder,
    ): Promise<OrderReply> {
        const { action } = order;
        const unloading = this.unloading.get(backendServer) ?? new Set<string>();
        this.unloading.set(backendServer, unloading);
        const key = action.kind === "unload" ? holdingKey(action) : undefined;
        try {
            const reply = link.sendOrder(order);
            if (key !== undefined) {
                unloading.add(key);
                this.checkWhole();
            }
            return await reply;
        }
        finally {
            unloading.delete(key ?? "");
            this.checkWhole();
        }
    }
}

function holdingKey(
    held: { readonly model: string; readonly modelVersion: string; readonly layers: Holding["layers"]; },
): string {
    return `${held.model} ${held.modelVersion} ${held.layers.first}-${held.layers.last}`;
}

function createConfiguration(options: PlacementSimulationOptions): Configuration {
    return {
        version: 1,
        pushId: "push-1",
        parent: 0,
        author: "planner",
        acceptedAt: "2026-12-04T06:00:00Z",
        models: new Map(options.models.map(model => [model.name, model])),
        routes: new Map(),
        customers: new Map(),
        services: new Map(),
        backendServerClasses: new Map(options.servers.map(server => [server.class.name, server.class])),
        topology: fleetTopology,
        weightStore: { bytesPerSecond: options.storeBytesPerSecond },
    };
}
